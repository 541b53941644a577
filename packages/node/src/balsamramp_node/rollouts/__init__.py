"""Rollouts of service versions and the state of availability zones."""
