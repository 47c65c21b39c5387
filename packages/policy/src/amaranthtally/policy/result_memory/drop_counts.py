"""Counts the pieces that were not computed, as nobody could use their results."""

from dataclasses import dataclass

__all__ = ["DropCounts"]


@dataclass(slots=True)
class DropCounts:
    """
    Numbers of pieces since the start, by why they were not computed.

    ``late``: their endpoints are slow, or a later stage has no room in time. ``ended``:
    their request ended during their call. ``gone``: their submitter takes no reports.
    """

    late: int = 0
    ended: int = 0
    gone: int = 0
