"""Door: the last check and the queue of calls to a target."""
