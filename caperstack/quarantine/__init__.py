"""Requests that end the backend servers which run them: recognised, told, kept away."""
