"""Endpoints that turn requests away and ask for a backoff."""

import asyncio

import pytest

from amaranthtally.adapter import headers as names
from amaranthtally.adapter.responses import MAX_RETRY_AFTER_S
from tests.gateway.fake_endpoint import (
    complete_response,
    piece_script,
    response_head,
)
from tests.gateway.support import (
    call_until,
    open_staged_pool,
    piece_headers,
    respond_with,
    route,
    run_with_cluster,
)

BACKOFF_S = 3.0
# The backoff binds this long after it was asked for, in seconds.
BINDING_S = 0.5
# Most requests from one gateway between then and the end of the backoff.
ALLOWED = 2
ASKED_FOR_S = 5.0
PLAYED_S = 9.0
PAUSE_S = 0.03


def turn_away(request, backoff_s=BACKOFF_S):
    """Return a response that the request was not run, with a backoff."""
    extra = {names.NOT_EXECUTED.replace("-", "_"): "1", "Retry_After": backoff_s}
    status = "503 Service Unavailable"
    return response_head(request, status, length=0, signed=False, **extra)


def check_backoff(arrivals, answers):
    """Check the requests that reach an endpoint after each of its backoffs."""
    for at in answers:
        during = [a for a in arrivals if at + BINDING_S < a < at + BACKOFF_S]
        assert len(during) <= ALLOWED


def test_an_endpoint_that_asks_for_a_backoff_gets_one_and_others_serve(tmp_path):
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

        await cluster.endpoint("busy", "job", script)
        await cluster.endpoint("one", "job", respond_with(b"ok"))
        await cluster.endpoint("two", "job", respond_with(b"ok"))
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway()
        began = loop.time()
        await call_until(gateway, began + PLAYED_S, statuses, PAUSE_S)
        assert answers
        check_backoff(arrivals, answers)
        assert set(statuses) == {200}
        assert [at for at in arrivals if at > answers[-1] + BACKOFF_S]

    run_with_cluster(tmp_path, check)


def test_if_all_ask_for_a_backoff_callers_are_told_at_once_when_to_retry(tmp_path):
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
        assert 0.0 < float(headers[names.RETRY_AFTER]) <= BACKOFF_S
        assert loop.time() - began < BACKOFF_S / 2

    run_with_cluster(tmp_path, check)


def test_calls_with_pieces_and_frees_leave_an_endpoint_in_backoff_alone(tmp_path):
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

        await open_staged_pool(cluster, script)
        gateway = await cluster.gateway()
        statuses = []
        end = loop.time() + 2 * BACKOFF_S
        headers = piece_headers("2")
        await call_until(gateway, end, statuses, 2 * PAUSE_S, "/ask/", **headers)
        assert len(answers) == 1
        check_backoff(arrivals, answers)
        assert set(statuses) == {200}
        assert [at for at in arrivals if at > answers[0] + BACKOFF_S]

    run_with_cluster(tmp_path, check)


def test_another_endpoint_at_the_same_address_has_no_backoff(tmp_path):
    """Guards against a new endpoint that is spared for what another one asked."""

    async def check(cluster):
        asked = []

        def script(request):
            if asked:
                return [complete_response(request, b"ok")]
            asked.append(request)
            return [turn_away(request, 60.0)]

        endpoint = await cluster.endpoint("first", "job", script)
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway()
        assert (await gateway.call("/job/"))[0] == 503
        cluster.store.remove("servers/first")
        cluster.store.put("servers/second", endpoint.record("job"))
        await asyncio.sleep(0.5)
        assert (await gateway.call("/job/"))[0] == 200

    run_with_cluster(tmp_path, check)


@pytest.mark.parametrize("absurd", ["1e18", "inf", "nan", "-3", "tomorrow"])
def test_an_absurd_retry_after_costs_no_request_of_the_others(tmp_path, absurd):
    """Guards against an endless backoff, and callers that are never to return."""

    async def check(cluster):
        await cluster.endpoint("absurd", "job", lambda r: [turn_away(r, absurd)])
        other = await cluster.endpoint("other", "job", respond_with(b"ok"))
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway()
        statuses = []
        end = asyncio.get_running_loop().time() + 1.0
        await call_until(gateway, end, statuses, PAUSE_S)
        assert set(statuses) == {200}
        other.script = lambda request: [turn_away(request, absurd)]
        status, headers, _ = await gateway.call("/job/")
        assert status == 503
        assert 0.0 < float(headers[names.RETRY_AFTER]) <= MAX_RETRY_AFTER_S

    run_with_cluster(tmp_path, check)
