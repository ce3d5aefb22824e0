"""Communication between nodes: messages, frames, connections, links and TLS."""
