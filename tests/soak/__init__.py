"""Randomised runs of real gateway processes under injected external faults."""
