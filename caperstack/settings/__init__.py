"""Storage of the settings in force and their distribution to all nodes."""
