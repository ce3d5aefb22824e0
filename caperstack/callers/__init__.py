"""The HTTP port for callers."""
