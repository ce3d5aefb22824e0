"""Stand-ins of the systems that caperstack serves and reads."""
