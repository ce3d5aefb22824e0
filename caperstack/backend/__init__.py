"""Connections to the backend server, and probes of its health and load."""
