"""Process: settings, servers and composition of a node."""
