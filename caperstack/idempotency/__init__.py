"""Idempotency keys: their keepers and their claims."""
