"""Request bodies that take long on a host's link: which these are, when they go, how fast."""
