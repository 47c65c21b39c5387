"""Runs that take no time at all."""

from amaranthtally.policy import (
    Arrival,
    AttemptOutcome,
    AttemptResult,
    Pipeline,
    Planner,
    Send,
)
from tests.policy_machines.planner_machine import ENCODE, START


def test_next_request_is_sent_after_a_run_of_no_time():
    """
    A caller's request ends with an internal error instead of an answer.

    An endpoint answers from its own cache within the clock's resolution, so that
    the sidecar tells a run of 0 s. The next request for the stage is routed by
    the learned time, which is now 0, and something divides by it.
    """
    planner = Planner(START)
    pipeline = Pipeline("encode", (ENCODE,), 4.0)
    first = planner.request_arrived(0.0, Arrival("r1", "large", pipeline, 4.0))
    assert isinstance(first[0], Send)
    planner.reply(
        0.0, first[0].attempt, AttemptResult(AttemptOutcome.FINISHED, run_s=0.0)
    )

    second = planner.request_arrived(0.1, Arrival("r2", "large", pipeline, 4.1))
    assert isinstance(second[0], Send)
    planner.tick(3.0)
