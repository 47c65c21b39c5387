"""Compares variants of the policy over many seeds by paired confidence intervals."""

from amaranthtally.operator.experiment.command import register

__all__ = ["register"]
