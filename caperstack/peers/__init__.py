"""Between nodes: messages, frames, connections, links and their security."""
