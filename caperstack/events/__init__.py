"""Events of a node, and the time line of many."""
