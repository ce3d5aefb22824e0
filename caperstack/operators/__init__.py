"""The operator interface of a node: metrics, health, events, members and settings."""
