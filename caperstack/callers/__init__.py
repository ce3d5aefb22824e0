"""The callers' HTTP port."""
