"""The end of requests whose callers are gone."""

from types import SimpleNamespace

import pytest
from aiohttp import ClientConnectionResetError

from amaranthtally.daemon.gateway.caller_handler import CallerHandler
from tests.support import run_async


class Executor:
    def __init__(self):
        self.cancelled = []

    def is_in_flight(self, request_id):
        return False

    def submit(self, call):
        pass

    def cancel_request(self, call):
        self.cancelled.append(call.id)


class Resumption:
    async def origin_of(self, caller, route):
        return None


class Handler(CallerHandler):
    """Accepts every request; writing the response fails."""

    def _check(self, request):
        caller = SimpleNamespace(
            id="request",
            deadline_s=1.0,
            piece_counts=(),
            shared_parts=(),
            last_event="",
            resumed_request="",
        )
        table = SimpleNamespace(version=1, limits=SimpleNamespace(body_bytes=10))
        return caller, SimpleNamespace(name="route", timeout_s=1.0), None, table

    async def _read_body(self, request, limit, memory):
        return b""

    def _new_call(self, *args):
        stage = SimpleNamespace(pool="pool")
        arrival = SimpleNamespace(
            pipeline=SimpleNamespace(stages=[stage]), priority=0, deadline=1.0, key=None
        )
        return SimpleNamespace(id="request", account="", arrival=arrival)

    async def _respond(self, request, call):
        raise self.error


def new_handler(executor, error, report=None):
    handler = Handler(
        executor, None, None, Resumption(), lambda: None, None, lambda: False, report
    )
    handler.error = error
    return handler


class FailingExecutor(Executor):
    def submit(self, call):
        raise RuntimeError("a fault")


@pytest.mark.parametrize("executor_type", [Executor, FailingExecutor])
def test_a_request_whose_handling_raises_is_cancelled(executor_type):
    """Guards against an id that stays in flight and attempts that run on for nobody."""

    async def check():
        executor, reported = executor_type(), []
        handler = new_handler(
            executor, RuntimeError("a fault"), lambda name, error: reported.append(name)
        )
        with pytest.raises(RuntimeError, match="a fault"):
            await handler.handle(SimpleNamespace())
        assert executor.cancelled == ["request"]
        assert reported == ["CallerHandler.handle"]

    run_async(check())


@pytest.mark.parametrize(
    "error",
    [ClientConnectionResetError("closing transport"), ConnectionResetError("reset")],
)
def test_a_caller_that_is_gone_ends_its_request_without_an_error(error):
    """Guards against a traceback in the log whenever a caller leaves a stream."""

    async def check():
        executor = Executor()
        handler = new_handler(executor, error)
        await handler.handle(SimpleNamespace())
        assert executor.cancelled == ["request"]
        assert handler.open_responses == 0

    run_async(check())
