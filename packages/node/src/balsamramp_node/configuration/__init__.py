"""Configuration: accepted, distributed and in force."""
