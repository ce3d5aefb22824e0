"""Fleets of real processes on loopback, with benchmarks, fault soaks and the demo."""
