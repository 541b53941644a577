"""Benches: measurements that are run by hand or by make."""
