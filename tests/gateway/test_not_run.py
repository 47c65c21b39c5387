"""An attempt counts as not run only on its own response, or if nothing was sent."""

import asyncio
import itertools
import json

import pytest

from amaranthtally.adapter import headers as names
from tests.gateway.fake_endpoint import (
    REFUSALS_WITHOUT_ID,
    SIGNATURE,
    complete_response,
    not_executed_response,
    response_without_id,
)
from tests.gateway.support import (
    SEGMENTS,
    STREAM,
    piece_headers,
    respond_with,
    route,
    run_with_cluster,
)

CALLS = 6
# Time between a response that nobody asked for and the call's own, in seconds.
OWN_RESPONSE_AFTER_S = 0.1
# Statuses that tell a caller that its request has not run and never will.
PROMISES = (408, 421, 429, 503)


def leftover_before_second(words):
    """Return a script that sends a leftover before the response to each second call."""
    serials = itertools.count(1)

    def script(request):
        own = complete_response(request, b"done")
        if next(serials) % 2:
            return [own]
        leftover = REFUSALS_WITHOUT_ID[words]
        return [leftover, OWN_RESPONSE_AFTER_S, own]

    return script


async def call_often(cluster, scripts):
    """Send requests to endpoints that run each; return their statuses and runs."""
    endpoints = [
        await cluster.endpoint(f"e{n}", "job", script)
        for n, script in enumerate(scripts)
    ]
    cluster.configure(1, route("job", "non_idempotent"))
    gateway = await cluster.gateway()
    statuses = [(await gateway.call("/job/"))[0] for _ in range(CALLS)]
    runs = [request.id for endpoint in endpoints for request in endpoint.requests]
    return statuses, runs


@pytest.mark.parametrize("count", [1, 2], ids=["one", "two"])
@pytest.mark.parametrize("words", REFUSALS_WITHOUT_ID)
def test_a_response_without_an_id_proves_nothing_of_a_call(tmp_path, words, count):
    """Guards against orders that ran and are refused as not run, or run twice."""

    async def check(cluster):
        scripts = [leftover_before_second(words) for _ in range(count)]
        statuses, runs = await call_often(cluster, scripts)
        assert not set(statuses) & set(PROMISES)
        assert len(runs) == len(set(runs)) == CALLS

    run_with_cluster(tmp_path, check)


def test_a_success_without_an_id_is_relayed_to_no_caller(tmp_path):
    """Guards against a caller that gets an answer to no request as its own."""

    async def check(cluster):
        signed = f"{names.SIGNATURE}: {SIGNATURE}\r\n".encode()
        leftover = response_without_id(b"200 OK", signed, b"foreign")

        def script(request):
            own = complete_response(request, b"done")
            return [leftover, OWN_RESPONSE_AFTER_S, own]

        await cluster.endpoint("e0", "job", script)
        cluster.configure(1, route("job", "non_idempotent"))
        gateway = await cluster.gateway()
        status, _, body = await gateway.call("/job/")
        assert (status, body) != (200, b"foreign")
        assert status not in PROMISES

    run_with_cluster(tmp_path, check)


@pytest.mark.parametrize(
    "status",
    ["503 Unavailable", "429 Too Many", "408 Timeout", "421 Misdirected"],
)
@pytest.mark.parametrize("count", [1, 2], ids=["one", "two"])
def test_a_runs_own_status_is_no_promise_to_its_caller(tmp_path, status, count):
    """Guards against orders that ran and failed, whose callers are told "not run"."""

    async def check(cluster):
        def script(request):
            return [0.02, complete_response(request, b"failed", status)]

        statuses, runs = await call_often(cluster, [script] * count)
        assert not set(statuses) & set(PROMISES)
        assert len(runs) == len(set(runs)) == CALLS

    run_with_cluster(tmp_path, check)


@pytest.mark.parametrize(
    "status", ["500 Failed", "504 Timeout", "502 Bad Gateway", "200 OK"]
)
def test_no_other_status_says_that_a_request_was_not_run(tmp_path, status):
    """Guards against a contradictory response that has an order sent once more."""

    async def check(cluster):
        extra = {names.NOT_EXECUTED.replace("-", "_"): "1"}

        def script(request):
            return [complete_response(request, b"failed", status, **extra)]

        statuses, runs = await call_often(cluster, [script] * 2)
        assert not set(statuses) & set(PROMISES)
        assert len(runs) == len(set(runs)) == CALLS

    run_with_cluster(tmp_path, check)


def test_a_second_answer_to_an_earlier_attempt_proves_nothing_of_the_next(tmp_path):
    """Guards against a repeat that ran and is refused by its first attempt's answer."""

    async def check(cluster):
        serials = itertools.count(1)

        def script(request):
            refusal = not_executed_response(request)
            if next(serials) == 1:
                return [refusal]
            # The second copy of the refusal, where the next response is due.
            copies = [refusal, OWN_RESPONSE_AFTER_S] if request.connection == 1 else []
            return [*copies, complete_response(request, b"done")]

        endpoint = await cluster.endpoint("e0", "job", script)
        cluster.configure(1, route("job", maxAttempts=1))
        gateway = await cluster.gateway()
        status, _, _ = await gateway.call("/job/", method="GET")
        assert len(endpoint.requests) == 2
        assert status == 200

    run_with_cluster(tmp_path, check)


def pieces_answered_twice(endpoint_name):
    """Return a script that repeats a call's answer before that to the next call."""
    serials = itertools.count()
    last = {}

    def script(request):
        if request.target.endswith("free"):
            return [complete_response(request, b"{}", signed=False)]
        entries = json.loads(request.body)["entries"]
        outcomes = {
            "entries": [
                {"handle": f"{endpoint_name}/{e['id']}/{next(serials)}"}
                for e in entries
            ]
        }
        own = complete_response(request, json.dumps(outcomes).encode(), signed=False)
        # A second answer comes where the next one on the connection is due.
        extra = last.get(request.connection)
        last[request.connection] = own
        return [0.02, extra, own] if extra else [0.02, own]

    return script


def configure_one_stage(cluster):
    """Configure a route with one stage before its engine."""
    stages = [{"service": "first", "after": [], "sizeBytes": 1000}]
    cluster.configure(
        1,
        route("ask", phases=stages, service="engine", **STREAM),
        services=[{"name": "first", "segments": SEGMENTS}],
    )


def test_pieces_get_no_results_of_an_earlier_call(tmp_path):
    """Guards against a request that is computed from another request's results."""

    async def check(cluster):
        await cluster.endpoint("first", "first", pieces_answered_twice("m"))
        engine = await cluster.endpoint("engine", "engine", respond_with(b"text"))
        configure_one_stage(cluster)
        gateway = await cluster.gateway()
        for _ in range(CALLS):
            await gateway.call("/ask/", **piece_headers("2"))
            await asyncio.sleep(0.01)
        assert len(engine.requests) == CALLS
        for request in engine.requests:
            handles = request.headers[names.INPUT_HANDLES.lower()].split(",")
            assert {handle.split("/")[1] for handle in handles} == {request.id}

    run_with_cluster(tmp_path, check)


def test_a_call_with_pieces_follows_no_redirect(tmp_path):
    """Guards against results of a server that nobody chose."""

    async def check(cluster):
        other = await cluster.endpoint("other", "other", pieces_answered_twice("x"))

        def script(request):
            location = f"http://{other.address}{request.target}"
            status = "307 Temporary Redirect"
            return [complete_response(request, b"", status, Location=location)]

        await cluster.endpoint("first", "first", script)
        await cluster.endpoint("engine", "engine", respond_with(b"text"))
        configure_one_stage(cluster)
        gateway = await cluster.gateway()
        headers = {**piece_headers("1"), names.DEADLINE_MS: "1000"}
        await gateway.call("/ask/", **headers)
        assert not other.requests

    run_with_cluster(tmp_path, check)
