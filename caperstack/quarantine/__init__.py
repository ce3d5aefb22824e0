"""Quarantine of requests that crash backend servers: detection, exchange and refusal."""
