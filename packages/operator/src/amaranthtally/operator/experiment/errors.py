"""Errors of the experiment; each message names the remedy."""

from pathlib import Path

__all__ = ["PlanError"]


class PlanError(Exception):
    """A plan cannot be read, or names what does not exist."""

    def __init__(self, path: Path, detail: str, remedy: str) -> None:
        super().__init__(f"{path}: {detail}; {remedy}")
