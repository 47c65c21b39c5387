"""Simulates deployments on a virtual clock: the real policy, generated workloads."""
