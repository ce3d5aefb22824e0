"""The settings in force, and how they reach every node."""
