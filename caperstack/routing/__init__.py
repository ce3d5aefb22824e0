"""The entry's decision: where a call goes, and where it goes next."""
