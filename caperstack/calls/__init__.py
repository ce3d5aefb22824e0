"""Calls, their headers and outcomes, and the responses sent to callers."""
