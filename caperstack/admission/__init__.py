"""Admission control at the owner: run, queue or refuse each call."""
