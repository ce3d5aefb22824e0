"""Soak tests: real processes under load and mixed faults, with all guarantees checked."""
