"""Stand-ins for the platform: its store, its backend servers, and hosts on loopback."""
