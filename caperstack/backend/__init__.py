"""The leg to the backend server, and its measuring."""
