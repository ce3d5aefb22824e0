"""Events and log lines of a node, and tools that join those of many nodes."""
