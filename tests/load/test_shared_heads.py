"""
Prompts whose heads many sessions share, over engines in three regions.

The load: a few long heads, hundreds of sessions behind them and a request's own part,
sent by entries that know nothing of each other's requests; and short heads, of which
there are many.
"""

from random import Random

import pytest

from amaranthtally.policy import (
    AffinityRouter,
    Arrival,
    AttemptOutcome,
    AttemptResult,
    Endpoint,
    Pipeline,
    Planner,
    PlannerComponents,
    PolicySettings,
    Send,
    Stage,
)

PLACES = {f"{region}-{letter}": region for region in "xyz" for letter in "ab"}
ENGINES_PER_PLACE = 4
ENTRIES_PER_PLACE = 2
SESSIONS = 400
REQUESTS = 1_500
INTERVAL_S = 0.06
RUN_S = 1.0
LONG = {"heads": 4, "head_tokens": 2520, "session_tokens": 3780, "own_tokens": 2890}
SHORT = {"heads": 80, "head_tokens": 341, "session_tokens": 227, "own_tokens": 1800}
PIPELINE = Pipeline("claim", (Stage("generate", "engines", streams=True),), 60.0)


class Fleet:
    """Entries before engines that hold every part that they have prefilled."""

    def __init__(self, seed):
        self.random = Random(seed)
        engines = {
            f"{place}-{n}": Endpoint(
                f"{place}-{n}", "engines", "h", region, place, "10.0.0.1:1", slots=128
            )
            for place, region in PLACES.items()
            for n in range(ENGINES_PER_PLACE)
        }
        self.engines = engines
        self.held = {name: set() for name in engines}
        self.requests = dict.fromkeys(engines, 0)
        self.prefilled = 0
        self.known = set()
        self.reread = 0
        self.entries = [
            Planner(
                PolicySettings(1, region, place, engines, entry=f"{place}/{n}"),
                Random(f"{seed}/{place}/{n}"),
                PlannerComponents(router=AffinityRouter),
            )
            for place, region in PLACES.items()
            for n in range(ENTRIES_PER_PLACE)
        ]

    def run(self, heads, head_tokens, session_tokens, own_tokens):
        """Send requests one after the other; each ends ``RUN_S`` later."""
        running = []
        for number in range(REQUESTS):
            now = number * INTERVAL_S
            while running and running[0][0] <= now:
                ends_at, entry, send = running.pop(0)
                result = AttemptResult(AttemptOutcome.FINISHED, run_s=RUN_S)
                entry.reply(ends_at, send.attempt, result)
            session = self.random.randrange(SESSIONS)
            prompt = (
                (1 + session % heads, head_tokens),
                (1_000 + session, session_tokens),
                (100_000 + number, own_tokens),
            )
            entry = self.random.choice(self.entries)
            (send,) = [
                action
                for action in entry.request_arrived(now, arrival(number, now, prompt))
                if isinstance(action, Send)
            ]
            self.prefill(send.endpoint, prompt)
            entry.progress(now + 0.2, send.attempt, 1)
            running.append((now + RUN_S, entry, send))

    def prefill(self, engine, prompt):
        self.requests[engine] += 1
        for part, tokens in prompt:
            if part in self.held[engine]:
                continue
            self.held[engine].add(part)
            self.reread += tokens if part in self.known else 0
            self.known.add(part)


def arrival(number, now, prompt):
    return Arrival(
        f"r{number}",
        "account",
        PIPELINE,
        now + 60.0,
        prefix=tuple(part for part, _ in prompt),
        prefix_sizes=tuple(tokens for _, tokens in prompt),
    )


@pytest.mark.parametrize("seed", range(3))
def test_short_heads_are_not_prefilled_in_each_region(seed):
    """Guards against a delay of some milliseconds that costs a head's prefill anew."""
    fleet = Fleet(seed)
    fleet.run(**SHORT)
    shared = SHORT["head_tokens"] + SHORT["session_tokens"]
    assert fleet.reread <= REQUESTS * shared / 3


@pytest.mark.parametrize("mix", [LONG, SHORT], ids=["long", "short"])
def test_no_engine_gets_most_of_the_requests(mix):
    """Guards against heads that gather all load at the engines that hold them."""
    fleet = Fleet(7)
    fleet.run(**mix)
    mean = REQUESTS / len(fleet.engines)
    assert max(fleet.requests.values()) <= 4 * mean
