"""The adapter to the hosting platform; no other package knows its names and formats."""
