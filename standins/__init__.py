"""Stand-ins for the systems around chervilarch, for tests and trials."""
