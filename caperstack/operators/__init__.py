"""What operators see of a node."""
