"""What is wrong with a batch of operations."""

from dataclasses import dataclass

__all__ = ["Mistake"]


@dataclass(frozen=True, slots=True)
class Mistake:
    """A mistake in one key of a batch, with its remedy."""

    scope: str
    key: str
    detail: str

    def __str__(self) -> str:
        return f"{self.key} at {self.scope}: {self.detail}"
