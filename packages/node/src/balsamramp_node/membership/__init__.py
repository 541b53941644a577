"""Gossip membership: the known nodes and the targets they announce."""
