"""Errors of the experiment; each message says how to correct the fault."""

from pathlib import Path

__all__ = ["PlanError"]


class PlanError(Exception):
    """A plan cannot be read or has an invalid value."""

    def __init__(self, path: Path, detail: str, remedy: str) -> None:
        super().__init__(f"{path}: {detail}; {remedy}")
