"""Endpoints that leave refuse work before it starts."""

from random import Random

from amaranthtally.policy import (
    Answer,
    Arrival,
    AttemptOutcome,
    AttemptResult,
    Endpoint,
    LoadReport,
    Pipeline,
    Planner,
    PolicySettings,
    Send,
    Stage,
)

LEAVING = 12
RUN_S = 0.01


def test_many_leaving_endpoints_cost_a_request_no_retries():
    """
    A rolling restart refuses a request though one endpoint takes work. Every
    endpoint but one has begun to leave, unknown to the entry, and refuses before
    start; the fifth refusal used up the tries that a stage has.
    """
    endpoints = {
        name: Endpoint(name, "echo", f"host-{name}", "cluj", "cluj-1", "127.0.0.1:1")
        for name in (f"echo-{n}" for n in range(LEAVING + 1))
    }
    stays = f"echo-{LEAVING}"
    for seed in range(20):
        planner = Planner(PolicySettings(1, "cluj", "cluj-1", endpoints), Random(seed))
        pipeline = Pipeline("echo", (Stage("echo", "echo"),), 4.0)
        arrival = Arrival("r1", "farm", pipeline, deadline=4.0)
        actions = planner.request_arrived(0.0, arrival)
        for _ in range(LEAVING + 1):
            (send,) = [action for action in actions if isinstance(action, Send)]
            if send.endpoint == stays:
                break
            planner.load_report(0.0, send.endpoint, LoadReport(1, 0, 0, 4, 0, 0, True))
            actions = planner.reply(
                0.0, send.attempt, AttemptResult(AttemptOutcome.NOT_RUN)
            )
        done = planner.reply(
            0.0, send.attempt, AttemptResult(AttemptOutcome.FINISHED, RUN_S)
        )
        assert done == [Answer("r1")]
