"""The owner's decision: run, queue or refuse."""
