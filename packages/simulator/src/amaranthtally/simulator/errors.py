"""Errors of the simulator; each message states a remedy."""

from pathlib import Path

__all__ = ["DeploymentError"]


class DeploymentError(Exception):
    """A deployment is invalid."""

    def __init__(self, path: Path | str, detail: str, remedy: str) -> None:
        super().__init__(f"{path}: {detail}; {remedy}")
        self.path = path
        self.detail = detail
        self.remedy = remedy
