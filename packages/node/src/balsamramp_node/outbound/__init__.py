"""The outbound side of a node: routes calls to the nodes of targets."""
