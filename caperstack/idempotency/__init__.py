"""Idempotency keys: claims of entries, and the keepers that record them."""
