"""Clients that don't behave, one test at a time (tests/run.py runs them last)."""
