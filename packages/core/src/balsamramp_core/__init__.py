"""Model and kernel shared by the node and the operators' client."""
