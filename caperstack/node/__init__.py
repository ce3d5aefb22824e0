"""The node: its services put together, started and drained."""
