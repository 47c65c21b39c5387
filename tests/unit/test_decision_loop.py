"""Actions of one decision, which belong to different requests."""

from amaranthtally.daemon.decision_loop import DecisionLoop
from amaranthtally.daemon.supervision import Supervisor
from tests.support import run_async


def test_an_action_that_raises_keeps_no_other_from_its_execution():
    """Guards against requests without an answer after the fault of another one."""
    executed = []

    async def check():
        supervisor = Supervisor()

        def fail(action):
            raise KeyError(action)

        handlers = {int: fail, str: executed.append}
        DecisionLoop(None, handlers, supervisor).carry_out(["a", 1, "b"])
        assert supervisor.failures == {"DecisionLoop.int": 1}

    run_async(check())
    assert executed == ["a", "b"]
