"""Stand-ins for the systems around caperstack: backend servers and platform services."""
