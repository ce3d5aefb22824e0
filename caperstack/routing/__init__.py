"""Routing at the entry: choice of the backend server, retries and hedged requests."""
