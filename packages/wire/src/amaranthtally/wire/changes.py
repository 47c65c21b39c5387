"""Changes of records that gateways pass on to each other, without I/O."""

from collections.abc import Sequence
from dataclasses import dataclass

__all__ = ["ChangeBatch", "MalformedChangesError", "RecordChange", "first_batch"]

# Maximum number of changes in one batch. A slow link of 5 Mbit/s transfers them in
# 20 ms.
MAX_CHANGES = 64


class MalformedChangesError(ValueError):
    """A batch of changes is inconsistent and must be ignored."""


@dataclass(frozen=True, slots=True)
class RecordChange:
    """A record as it was written at a revision; without a value it was removed."""

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class ChangeBatch:
    """All changes after one revision of the store up to another, in order."""

    after: int
    revision: int
    changes: tuple[RecordChange, ...] = ()

    def check(self) -> None:
        """Raise ``MalformedChangesError`` if the changes do not fit the revisions."""
        last = self.after
        for change in self.changes:
            if not change.key:
                raise MalformedChangesError("a change has no key")
            if not last <= change.revision <= self.revision:
                raise MalformedChangesError(
                    f"revision {change.revision} of {change.key} is not between "
                    f"{last} and {self.revision}"
                )
            last = change.revision
        if self.revision < self.after:
            raise MalformedChangesError(
                f"the batch goes back from {self.after} to {self.revision}"
            )


def first_batch(
    after: int, revision: int, changes: Sequence[RecordChange]
) -> ChangeBatch:
    """Return the first changes after a revision, as many as fit into one batch."""
    if len(changes) <= MAX_CHANGES:
        return ChangeBatch(after, revision, tuple(changes))
    # Changes of one revision belong together: a batch ends between two revisions.
    end = changes[MAX_CHANGES].revision
    kept = tuple(change for change in changes if change.revision < end)
    if not kept:
        kept = tuple(change for change in changes if change.revision == end)
        end += 1
    return ChangeBatch(after, end - 1, kept)
