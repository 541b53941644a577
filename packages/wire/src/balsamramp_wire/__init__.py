"""Protocol between nodes: messages, frames and control methods."""
