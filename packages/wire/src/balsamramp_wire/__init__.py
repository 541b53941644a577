"""The protocol between nodes: messages, frames and control requests."""
