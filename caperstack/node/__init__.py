"""The node process: creates, starts and drains the node's services."""
