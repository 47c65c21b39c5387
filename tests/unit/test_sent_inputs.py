"""What an attempt reads is what was decided, however late its call begins."""

from types import SimpleNamespace

from amaranthtally.daemon.gateway.executor import GatewayExecutor
from amaranthtally.policy import AttemptId, Send, StoredResult
from tests.policy.support import endpoints, settings
from tests.support import run_async

RESULT = StoredResult("handle", "catalogue-0", "cluj-a", 8e3)


class OneSend:
    """A planner that frees the inputs of its one request right after its decision."""

    def __init__(self):
        self.inputs = (RESULT,)

    def inputs_of(self, request_id):
        return self.inputs


def test_inputs_that_are_freed_before_a_call_begins_are_still_named():
    """Guards against an engine that is sent a request without what it is to read."""
    given = []

    async def run(call, send, endpoint, inputs):
        given.append(inputs)

    async def check():
        planner = OneSend()
        executor = GatewayExecutor(planner, settings(endpoints("engine")), None, None)
        executor._endpoint_calls = SimpleNamespace(run=run)
        executor._calls["r"] = SimpleNamespace(id="r", tasks={})
        executor._send(Send(AttemptId("r", 0, 1), "engine-0", 9.0))
        planner.inputs = ()
        (task,) = executor._calls["r"].tasks.values()
        await task

    run_async(check())
    assert given == [(RESULT,)]
