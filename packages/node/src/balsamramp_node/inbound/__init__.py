"""Admits, queues and sends the calls to the targets of this VM."""
