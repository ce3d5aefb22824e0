"""Calls, their headers and their outcomes."""
