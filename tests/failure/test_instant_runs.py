"""Runs of zero duration."""

from amaranthtally.policy import (
    Arrival,
    AttemptOutcome,
    AttemptResult,
    Pipeline,
    Planner,
    Send,
)
from tests.policy_machines.planner_machine import ENCODE, START


def test_next_request_is_sent_after_a_run_of_zero_duration():
    """
    Guards against a division by zero that fails a caller's request.

    An endpoint answers from its cache within the clock's resolution, and the sidecar
    reports a run of 0 s. The next request for the stage is routed by the learned run
    time, which is then 0.
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
