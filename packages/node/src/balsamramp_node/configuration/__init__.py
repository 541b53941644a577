"""Acceptance, storage and distribution of the mesh configuration."""
