"""Settings, servers and composition of a node process."""
