"""Calls: from a caller to the node of a target, and back."""
