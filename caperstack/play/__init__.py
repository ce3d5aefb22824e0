"""Simulation in virtual time: real entries and owners, modelled backend servers and callers."""
