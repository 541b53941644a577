"""Benches: measurements that are run by hand and written down."""
