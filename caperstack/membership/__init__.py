"""Who serves what, and who is leaving."""
