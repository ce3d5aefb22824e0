"""The users' platform: the only package that knows its names and formats."""
