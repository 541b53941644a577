"""The node: one small process on each target VM."""
