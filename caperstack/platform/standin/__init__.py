"""Stand-ins for the platform: its store, its backend servers, and a fleet of hosts on loopback."""
