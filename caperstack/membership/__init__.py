"""Fleet membership: which nodes serve which service, and which of them are draining."""
