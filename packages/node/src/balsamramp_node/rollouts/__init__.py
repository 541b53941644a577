"""Outcomes: what becomes of rollouts and zones."""
