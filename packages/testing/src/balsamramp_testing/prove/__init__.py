"""Prove: every kind of fault against every line that must hold."""
