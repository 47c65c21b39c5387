"""Compares variants of the policy over many seeds, with paired intervals."""

from amaranthtally.operator.experiment.command import register

__all__ = ["register"]
