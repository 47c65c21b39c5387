"""Trace replay: runs recorded arrivals through the policy on a virtual clock."""

from amaranthtally.operator.replay.command import register, report_trace

__all__ = ["register", "report_trace"]
