"""Start settings of a node and the settings tree of the teams."""
