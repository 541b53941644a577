"""Resource model and process framework shared by node and client."""
