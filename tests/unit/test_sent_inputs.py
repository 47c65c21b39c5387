"""The inputs of an attempt are fixed at the decision, not when its call starts."""

from types import SimpleNamespace

import pytest

from amaranthtally.daemon.gateway.endpoint_exchange import EndpointSessions
from amaranthtally.daemon.gateway.executor import GatewayExecutor
from amaranthtally.daemon.supervision import Supervisor
from amaranthtally.policy import (
    AttemptId,
    AttemptOutcome,
    Send,
    StoredResult,
    build_response_limits,
)
from tests.policy.support import endpoints, settings
from tests.support import run_async

RESULT = StoredResult("handle", "catalogue-0", "cluj-a", 8e3)


class FakePlanner:
    """A planner whose request's inputs the test frees after the decision."""

    limits = SimpleNamespace(rates={})
    prompts = None
    load_view = None

    def __init__(self):
        self.inputs = (RESULT,)

    def inputs_of(self, request_id):
        return self.inputs


def new_executor(planner):
    return GatewayExecutor(
        planner,
        settings(endpoints("engine")),
        EndpointSessions(requests=None, pieces=None),
        None,
        lambda call: None,
        build_response_limits(),
        Supervisor(),
    )


def test_inputs_that_are_freed_before_a_call_starts_are_still_sent():
    """Guards against an engine that gets a request without its inputs."""
    sent_inputs = []

    async def run(call, send, endpoint, inputs):
        sent_inputs.append(inputs)

    async def check():
        planner = FakePlanner()
        executor = new_executor(planner)
        executor._endpoint_calls = SimpleNamespace(run=run)
        executor._calls["r"] = SimpleNamespace(
            id="r", tasks={}, last_event="", caller=SimpleNamespace(last_event="")
        )
        executor._send(Send(AttemptId("r", 0, 1), "engine-0", 9.0))
        planner.inputs = ()
        (task,) = executor._calls["r"].tasks.values()
        await task

    run_async(check())
    assert sent_inputs == [(RESULT,)]


def test_an_attempt_that_cannot_be_started_is_reported():
    """Guards against a request that waits for an attempt that never began."""
    ends = []

    async def check():
        # A planner without inputs, which raises when it is asked for them.
        executor = new_executor(
            SimpleNamespace(limits=FakePlanner.limits, prompts=None, load_view=None)
        )
        executor.attempt_ended = lambda attempt, result: ends.append(result.outcome)
        executor._calls["r"] = SimpleNamespace(
            id="r",
            last_event="",
            caller=SimpleNamespace(last_event=""),
            route=SimpleNamespace(is_repeatable=False),
        )
        with pytest.raises(AttributeError):
            executor._send(Send(AttemptId("r", 0, 1), "engine-0", 9.0))

    run_async(check())
    assert ends == [AttemptOutcome.UNKNOWN]
