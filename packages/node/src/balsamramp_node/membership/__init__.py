"""Membership: the nodes and targets that exist."""
