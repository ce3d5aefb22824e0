"""Fleets of real processes on loopback, benchmarks and the demo."""
