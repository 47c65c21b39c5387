"""The users' sheets as played: kinds of requests, their rates, and their pools."""

from dataclasses import dataclass

from tests.policy.pieces import (
    CLAIM,
    DESK_POOLS,
    LOOKUP,
    POOLS,
    REPLY,
    TRACKER_POOLS,
)


@dataclass(frozen=True)
class Kind:
    """
    A kind of request of the users' sheets: rate a second, aim and deadline in s.

    ``worth`` is what an answer on time earns, ``late_worth`` a later one.
    """

    name: str
    stages: tuple
    counts: object
    rate: float
    aim_s: float
    deadline_s: float
    priority: int
    worth: float = 1.0
    late_worth: float = 0.15


@dataclass(frozen=True)
class Site:
    """One of the users' deployments as played."""

    kinds: tuple
    pools: dict


# Agrosalv's sheet as played: half of the traffic, and mean pieces rounded.
CLAIMS = Kind("claim", CLAIM, lambda r: (r.randint(1, 4),), 4.6, 1.8, 8.0, 1, 4.1, 0.61)
LOOKUPS = Kind(
    "lookup", LOOKUP, lambda r: (1, 6, r.randint(5, 15)), 8.66, 2.5, 8.0, 0, 2.1, 0.32
)
REPLIES = Kind(
    "reply",
    REPLY,
    lambda r: (r.choice((0, 0, 1, 2)), 1, 6, 10),
    9.71,
    2.3,
    20.0,
    2,
    0.44,
    0.066,
)
KINDS = (CLAIMS, LOOKUPS, REPLIES)
FLEET = Site(KINDS, POOLS)

# Qoryq's sheet as played. Its most valuable kind goes through all three pools, so that
# their 25 requests a second bound what a burst can be served.
SUMMARIES = Kind(
    "summary",
    REPLY,
    lambda r: (r.choice((0, 0, 0, 1, 2)), 1, 4, r.randint(5, 15)),
    5.95,
    2.7,
    10.0,
    1,
    4.1,
    0.61,
)
DRAFTS = Kind(
    "draft", LOOKUP, lambda r: (1, 4, r.randint(5, 15)), 7.86, 2.5, 6.0, 0, 2.1, 0.32
)
TAGS = Kind("tag", CLAIM, lambda r: (r.randint(0, 5),), 8.82, 1.4, 15.0, 2, 0.44, 0.066)
TRACKER = Site((SUMMARIES, DRAFTS, TAGS), TRACKER_POOLS)

# Few places a call and memory for six results: drafts of up to four pieces fit a call,
# one in eight is larger.
DESK = Site(
    (
        Kind("draft", CLAIM, lambda r: (r.randint(0, 4),), 4.1, 1.4, 6.0, 1, 3.6, 0.54),
        Kind("large", CLAIM, lambda r: (r.randint(5, 8),), 0.6, 1.4, 6.0, 1, 3.6, 0.54),
        Kind("walk", LOOKUP, lambda r: (1, 6, 10), 5.8, 1.9, 6.0, 0, 2.0, 0.3),
        Kind("query", REPLY, REPLIES.counts, 3.0, 1.8, 9.0, 2, 0.61, 0.091),
    ),
    DESK_POOLS,
)
