"""Models of a node's start settings and of the teams' settings tree."""
