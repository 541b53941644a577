"""The stages on which a scenario can be run."""
