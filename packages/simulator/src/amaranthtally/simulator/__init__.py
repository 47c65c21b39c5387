"""Whole deployments on a virtual clock: the policy unchanged, everything else drawn."""
