"""What entries tell each other of the work that client accounts offer and get."""

from enum import IntEnum
from hashlib import blake2b
from typing import NamedTuple

__all__ = [
    "MAX_ACCOUNTS",
    "NO_WORK",
    "AccountUsage",
    "Resource",
    "UsageReport",
    "Work",
    "account_digest",
]

# Most accounts that one report names, the largest ones.
MAX_ACCOUNTS = 32
DIGEST_BYTES = 8


class Resource(IntEnum):
    """What accounts compete for; the value indexes the parts of a usage."""

    ENGINES = 0
    STAGES = 1


class Work(NamedTuple):
    """Work of one resource in seconds, as decaying sums."""

    offered_s: float = 0.0
    admitted_s: float = 0.0

    def plus(self, other: "Work") -> "Work":
        """Return the sums of both."""
        return Work(
            self.offered_s + other.offered_s, self.admitted_s + other.admitted_s
        )


NO_WORK = Work()


class AccountUsage(NamedTuple):
    """The work of one account by ``Resource``; ``account`` is its digest."""

    account: int
    work: tuple[Work, Work] = (NO_WORK, NO_WORK)


class UsageReport(NamedTuple):
    """
    The work that one entry was offered and has admitted.

    Of the reports of one start of an entry, which has its own ``incarnation``, the one
    with the highest ``serial`` holds. It holds for ``remaining_s`` seconds more.
    The incarnation is 0 until the report is sent, when the gateway fills it in.
    ``wait_limits_s`` has for each ``Resource`` the shortest wait that an account
    within its share could not accept, 0 without one. ``rest`` sums the work of
    ``rest_accounts`` accounts that are not listed.
    """

    incarnation: int
    serial: int
    remaining_s: float
    is_overloaded: bool
    wait_limits_s: tuple[float, float] = (0.0, 0.0)
    accounts: tuple[AccountUsage, ...] = ()
    rest: tuple[Work, Work] = (NO_WORK, NO_WORK)
    rest_accounts: int = 0


def account_digest(name: str) -> int:
    """Return the number that stands for an account in reports."""
    encoded = name.encode("utf-8", "surrogateescape")
    digest = blake2b(encoded, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")
