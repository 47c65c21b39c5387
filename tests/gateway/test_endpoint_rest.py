"""Endpoints that turn requests away and ask for rest."""

import asyncio

from amaranthtally.adapter import headers as names
from tests.gateway.fake_endpoint import (
    complete_response,
    piece_script,
    response_head,
    sse_events,
)
from tests.gateway.support import (
    SEGMENTS,
    STREAM,
    respond_with,
    route,
    run_with_cluster,
)

REST_S = 3.0
# The rest binds this long after it was asked for, in seconds.
BINDING_S = 0.5
# Most requests from one gateway between then and the end of the rest.
ALLOWED = 2
ASKED_FOR_S = 5.0
PLAYED_S = 9.0
PAUSE_S = 0.03


def turn_away(request, rest_s=REST_S):
    """Return a response that says that the request was not run, and asks for rest."""
    extra = {names.NOT_EXECUTED.replace("-", "_"): "1", "Retry_After": rest_s}
    status = "503 Service Unavailable"
    return response_head(request, status, length=0, signed=False, **extra)


def check_rest(arrivals, answers):
    """Check the requests that reach an endpoint after each of its wishes."""
    for at in answers:
        during = [a for a in arrivals if at + BINDING_S < a < at + REST_S]
        assert len(during) <= ALLOWED


def test_an_endpoint_that_asks_for_rest_is_left_alone_and_others_serve(tmp_path):
    """Guards against endpoints in need that get requests all the while."""

    async def check(cluster):
        loop = asyncio.get_running_loop()
        began = loop.time()
        arrivals, answers, statuses = [], [], []

        def script(request):
            arrivals.append(loop.time())
            if loop.time() - began > ASKED_FOR_S:
                return [complete_response(request, b"ok")]
            answers.append(loop.time())
            return [turn_away(request)]

        await cluster.endpoint("tired", "job", script)
        await cluster.endpoint("one", "job", respond_with(b"ok"))
        await cluster.endpoint("two", "job", respond_with(b"ok"))
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway()
        began = loop.time()

        async def call():
            status, _, _ = await gateway.call("/job/")
            statuses.append(status)

        async with asyncio.TaskGroup() as tasks:
            while loop.time() < began + PLAYED_S:
                tasks.create_task(call())
                await asyncio.sleep(PAUSE_S)
        assert answers
        check_rest(arrivals, answers)
        assert set(statuses) == {200}
        assert [at for at in arrivals if at > answers[-1] + REST_S]

    run_with_cluster(tmp_path, check)


def test_if_all_ask_for_rest_callers_hear_at_once_when_to_come_back(tmp_path):
    """Guards against callers that wait for endpoints that take nothing."""

    async def check(cluster):
        for name in ("one", "two"):
            await cluster.endpoint(name, "job", lambda r: [turn_away(r)])
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway()
        await gateway.call("/job/")
        loop = asyncio.get_running_loop()
        began = loop.time()
        status, headers, _ = await gateway.call("/job/")
        assert status == 503
        assert 0.0 < float(headers[names.RETRY_AFTER]) <= REST_S
        assert loop.time() - began < REST_S / 2

    run_with_cluster(tmp_path, check)


def test_calls_with_pieces_and_frees_leave_a_resting_endpoint_alone(tmp_path):
    """Guards against calls of stages, which are requests to an endpoint as well."""

    async def check(cluster):
        loop = asyncio.get_running_loop()
        arrivals, answers, works = [], [], piece_script()

        def script(request):
            arrivals.append(loop.time())
            if answers or len(arrivals) < 4:
                return works(request)
            answers.append(loop.time())
            return [turn_away(request)]

        await cluster.endpoint("tired", "first", script)
        await cluster.endpoint("other", "first", piece_script())
        text = sse_events(1)
        await cluster.endpoint(
            "engine", "engine", lambda r: [complete_response(r, text)]
        )
        stages = [{"service": "first", "after": [], "sizeBytes": 1000}]
        services = [{"name": "first", "segments": SEGMENTS | {"batch": 1}}]
        ask = route("ask", phases=stages, service="engine", **STREAM)
        cluster.configure(1, ask, services=services)
        gateway = await cluster.gateway()
        statuses = []

        async def call():
            headers = {names.CHUNK_COUNTS: "2", names.CHUNK_KEY: "input"}
            status, _, _ = await gateway.call("/ask/", **headers)
            statuses.append(status)

        end = loop.time() + 2 * REST_S
        async with asyncio.TaskGroup() as tasks:
            while loop.time() < end:
                tasks.create_task(call())
                await asyncio.sleep(2 * PAUSE_S)
        assert len(answers) == 1
        check_rest(arrivals, answers)
        assert set(statuses) == {200}
        assert [at for at in arrivals if at > answers[0] + REST_S]

    run_with_cluster(tmp_path, check)
