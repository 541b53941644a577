"""Counts the calls of each organisation and reports them by window."""
