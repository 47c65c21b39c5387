"""Responses of a soak run's endpoints that belong to no call, or promise too much."""

import asyncio
import time

from tests.gateway.fake_endpoint import (
    REFUSALS_WITHOUT_ID,
    complete_response,
    response_without_id,
)

# How long an endpoint sends such responses, in seconds, and to which share of calls.
STRAY_S = 2.0
ACTIVE_SHARE = 0.5
STRAY_SHARE = 0.3
# Share of them in which an order's run ends with a status that promises "not run", and
# of the others that are the second copy of an earlier response, if there is one.
OWN_SHARE = 0.25
SECOND_SHARE = 0.5
# Time between a response that nobody asked for and the call's own, in seconds.
OWN_AFTER_S = 0.02
WITHOUT_ID = (*REFUSALS_WITHOUT_ID.values(), response_without_id(b"200 OK"))
# Statuses that promise "not run", with which a run itself ends.
OWN_STATUSES = ("503 Unavailable", "429 Too Many", "408 Timeout", "421 Misdirected")


class Strays:
    """Adds stray responses to those of one endpoint while it is ``active``."""

    def __init__(self, random):
        self._random = random
        self._last = {}
        self.active = False

    def add(self, request, steps):
        """Return the steps of a response, with strays before or in place of them."""
        previous = self._last.get(request.connection)
        whole = [step for step in steps if isinstance(step, bytes)]
        self._last[request.connection] = whole[-1] if len(whole) == 1 else None
        if not self.active or self._random.random() > STRAY_SHARE:
            return steps
        # Callers may take requests that may run twice for not run: no harm is done.
        if request.id.startswith("order") and self._random.random() < OWN_SHARE:
            status = self._random.choice(OWN_STATUSES)
            return [complete_response(request, b"failed", status)]
        if previous is not None and self._random.random() < SECOND_SHARE:
            return [previous, OWN_AFTER_S, *steps]
        return [self._random.choice(WITHOUT_ID), OWN_AFTER_S, *steps]


async def send_strays(run, random, end_at):
    """Let half of the endpoints send strays, and then others, until a time stamp."""
    scripts = [run.scripts[name] for name in sorted(run.scripts)]
    for script in scripts:
        script.strays = Strays(random)
    while time.monotonic() < end_at:
        for script in scripts:
            script.strays.active = random.random() < ACTIVE_SHARE
        await asyncio.sleep(min(STRAY_S, max(0.0, end_at - time.monotonic())))
    for script in scripts:
        script.strays.active = False
