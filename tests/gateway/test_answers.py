"""Responses are relayed complete and unchanged, or not at all."""

import asyncio

import pytest

from amaranthtally.adapter import headers as names
from tests.gateway.fake_endpoint import (
    SIGNATURE,
    STREAM_END,
    Close,
    Reset,
    complete_response,
    http_chunk,
    not_executed_response,
    response_head,
    sse_events,
    stream_response_head,
)
from tests.gateway.support import KEY, STREAM, open_gateway_cluster, route
from tests.support import run_async

# Longer than a test may take, in seconds: the test fails if its endpoint keeps working.
ENDLESS_S = 1_000.0
SHORT_DEADLINE = {names.DEADLINE_MS: "500"}


def with_endpoints(tmp_path, *scripts, kind="idempotent", **options):
    """Return a decorator that runs a test with one route and its endpoints."""

    def decorate(test):
        async def run():
            async with open_gateway_cluster(tmp_path) as cluster:
                endpoints = [
                    await cluster.endpoint(f"e{n}", "job", script)
                    for n, script in enumerate(scripts)
                ]
                cluster.configure(1, route("job", kind, **options))
                await test(await cluster.gateway(), *endpoints)

        run_async(run())

    return decorate


def test_a_request_and_its_response_are_relayed_unchanged(tmp_path):
    def script(request):
        return [complete_response(request, b"answer", "201 Created", X_Own="yes")]

    @with_endpoints(tmp_path, script, kind="non_idempotent")
    async def check(gateway, endpoint):
        status, headers, body = await gateway.call(
            "/job/a%2Fb?q=%41", body=b"question", X_Mine="1"
        )
        assert (status, body) == (201, b"answer")
        assert headers["X-Own"] == "yes"
        assert headers[names.SIGNATURE] == SIGNATURE
        (request,) = endpoint.requests
        assert (request.method, request.target, request.body) == (
            "POST",
            "/job/a%2Fb?q=%41",
            b"question",
        )
        assert request.headers["x_mine"] == "1"
        assert 3500 < int(request.headers[names.DEADLINE_MS.lower()]) <= 4000
        assert request.headers[names.EXPECTED_ID.lower()] == "e0"
        assert request.headers[names.ACCOUNT.lower()] == "account"


def test_a_caller_cannot_set_the_systems_headers(tmp_path):
    """
    Guards against a caller that impersonates another account, skips an engine's queue
    or occupies its memory by sending the system's internal headers.
    """

    @with_endpoints(tmp_path, lambda request: [complete_response(request)])
    async def check(gateway, endpoint):
        forged = dict.fromkeys(
            (
                names.ACCOUNT,
                names.HELD_SLOT,
                names.PIN_MS,
                names.BACKUP,
                names.MOVED_FROM,
                names.REQUEST_PRIORITY,
                names.EXPECTED_WEIGHTS,
            ),
            "forged",
        )
        await gateway.call("/job/", **forged, Connection="X-Once", **{"X-Once": "1"})
        sent_headers = endpoint.requests[0].headers
        assert "forged" not in sent_headers.values()
        assert "x-once" not in sent_headers
        assert KEY not in str(sent_headers)


def test_a_stale_response_on_a_connection_is_relayed_to_no_caller(tmp_path):
    """
    Guards against a caller that gets another caller's response. An endpoint answered
    twice, and its second response arrived on the kept-alive connection in place of the
    next one.
    """

    def script(request):
        count = len(first.requests) if (first := script.endpoint) else 0
        if count == 2:
            stale = complete_response(script.endpoint.requests[0], b"stale")
            return [stale, complete_response(request, b"own")]
        return [complete_response(request, b"own")]

    script.endpoint = None

    @with_endpoints(tmp_path, script)
    async def check(gateway, endpoint):
        script.endpoint = endpoint
        for _ in range(3):
            status, _, body = await gateway.call("/job/", method="GET")
            assert (status, body) in ((200, b"own"), (502, body))
            assert body != b"stale"


@pytest.mark.parametrize("fault", ["reset", "short", "unsigned", "nonsense"])
def test_an_invalid_response_is_not_relayed(tmp_path, fault):
    """
    Guards against a caller that takes a truncated response for a complete one. The
    connection was reset during a response without a length, or the endpoint's bytes
    were not a valid response.
    """

    def invalid(request):
        return {
            "reset": [response_head(request) + b"half", 0.1, Reset],
            "short": [response_head(request, length=10) + b"half", Close],
            "unsigned": [complete_response(request, signed=False)],
            "nonsense": [b"\x00\x01 no answer\r\n\r\n", Close],
        }[fault]

    @with_endpoints(tmp_path, invalid, kind="non_idempotent")
    async def check(gateway, endpoint):
        status, headers, _ = await gateway.call("/job/")
        assert status == 502
        assert names.SIGNATURE not in headers
        assert len(endpoint.requests) == 1


def test_a_response_without_a_length_ends_with_its_connection(tmp_path):
    @with_endpoints(tmp_path, lambda r: [response_head(r) + b"all of it", Close])
    async def check(gateway, _):
        assert (await gateway.call("/job/"))[2] == b"all of it"


def test_an_early_response_to_a_long_request_is_relayed(tmp_path):
    """
    Guards against a request that the endpoint reads as the rest of the previous
    request's body. An endpoint responds before it has read the whole of a long body.
    """

    @with_endpoints(tmp_path, lambda r: [complete_response(r, b"early")])
    async def check(gateway, endpoint):
        for _ in range(3):
            _, _, body = await gateway.call("/job/", body=b"x" * 300_000)
            assert body == b"early"
        assert {len(request.body) for request in endpoint.requests} == {300_000}


# Retries


def test_a_non_idempotent_request_is_never_sent_again(tmp_path):
    """
    Guards against an order that is executed twice. The endpoint ran the order, and its
    connection broke before the response; the HTTP library then resends some methods by
    itself.
    """

    @with_endpoints(
        tmp_path,
        lambda r: [0.05, Reset],
        lambda r: [0.05, Reset],
        kind="non_idempotent",
    )
    async def check(gateway, first, second):
        for method in ("POST", "PUT", "DELETE", "GET"):
            status, headers, _ = await gateway.call("/job/", method=method)
            assert status == 502
            assert names.RETRY_AFTER not in headers
        ids = [request.id for request in first.requests + second.requests]
        assert len(ids) == len(set(ids)) == 4


def test_a_request_on_a_closed_keep_alive_connection_is_not_resent(tmp_path):
    """
    Guards against an order that is executed twice. The endpoint closed a kept-alive
    connection as it received the order; the HTTP library would have resent the order on
    a new connection.
    """

    def script(request):
        is_first = len(script.requests) == 0
        script.requests.append(request)
        return [complete_response(request)] if is_first else [Close]

    script.requests = []

    @with_endpoints(tmp_path, script, kind="non_idempotent")
    async def check(gateway, endpoint):
        assert (await gateway.call("/job/", method="DELETE"))[0] == 200
        assert (await gateway.call("/job/", method="DELETE"))[0] == 502
        assert len(endpoint.requests) == 2


def test_a_request_refused_by_one_endpoint_is_sent_to_another(tmp_path):
    @with_endpoints(
        tmp_path,
        lambda r: [not_executed_response(r)],
        lambda r: [complete_response(r, b"done")],
        kind="non_idempotent",
        maxAttempts=1,
    )
    async def check(gateway, *_):
        for _ in range(4):
            assert (await gateway.call("/job/"))[2] == b"done"


def test_a_request_refused_by_every_endpoint_gets_503(tmp_path):
    @with_endpoints(
        tmp_path, lambda r: [not_executed_response(r)], kind="non_idempotent"
    )
    async def check(gateway, _):
        status, headers, _ = await gateway.call("/job/")
        assert status == 503
        assert float(headers[names.RETRY_AFTER]) > 0


def test_a_request_refused_by_the_wrong_endpoint_is_sent_to_another(tmp_path):
    """
    Guards against a request that runs in the wrong pool. The address of a removed
    endpoint was given to another one, which refuses the request with status 421.
    """
    refused = not_executed_response

    @with_endpoints(
        tmp_path,
        lambda r: [refused(r, "421 Misdirected Request")],
        lambda r: [complete_response(r, b"done")],
    )
    async def check(gateway, *_):
        for _ in range(4):
            assert (await gateway.call("/job/"))[0] == 200


def test_an_endpoints_error_response_is_relayed_if_no_attempt_succeeds(tmp_path):
    def failing(request):
        return [complete_response(request, b"broken", "500 Internal Server Error")]

    @with_endpoints(tmp_path, failing, failing)
    async def check(gateway, *_):
        status, headers, body = await gateway.call("/job/", method="GET")
        assert (status, body) == (500, b"broken")
        assert headers[names.SIGNATURE] == SIGNATURE


def test_attempts_are_limited_by_the_route(tmp_path):
    def failing(request):
        return [complete_response(request, b"broken", "500 Internal Server Error")]

    @with_endpoints(tmp_path, failing, failing, failing, maxAttempts=2)
    async def check(gateway, *endpoints):
        await gateway.call("/job/", method="GET")
        assert sum(len(endpoint.requests) for endpoint in endpoints) == 2


def test_an_endpoint_that_does_not_answer_is_abandoned_at_the_deadline(tmp_path):
    @with_endpoints(tmp_path, lambda r: [30.0], kind="non_idempotent", timeoutMs=400)
    async def check(gateway, endpoint):
        started = asyncio.get_running_loop().time()
        assert (await gateway.call("/job/"))[0] == 504
        assert asyncio.get_running_loop().time() - started < 2.0
        async with asyncio.timeout(2.0):
            await endpoint.requests[0].closed.wait()


def test_a_request_is_cancelled_when_its_caller_disconnects(tmp_path):
    """Guards against an endpoint that works on after its caller has disconnected."""

    @with_endpoints(tmp_path, lambda r: [30.0])
    async def check(gateway, endpoint):
        call = asyncio.create_task(gateway.call("/job/"))
        while not endpoint.requests:
            await asyncio.sleep(0.02)
        call.cancel()
        async with asyncio.timeout(2.0):
            await endpoint.requests[0].closed.wait()


# Streams


def streaming(*steps):
    return lambda request: [stream_response_head(request), *steps, STREAM_END]


def test_a_stream_is_relayed_unchanged(tmp_path):
    @with_endpoints(
        tmp_path,
        streaming(http_chunk(sse_events(1)), 0.05, http_chunk(sse_events(2))),
        **STREAM,
    )
    async def check(gateway, _):
        assert await gateway.stream("/job/") == (200, sse_events(1, 2), True)


def test_a_truncated_stream_does_not_look_complete(tmp_path):
    """
    Guards against a caller that takes a truncated text for a complete one. The engine's
    connection broke, and the caller's stream was terminated like a complete one.
    """

    def script(request):
        return [
            stream_response_head(request) + http_chunk(sse_events(1) + b"id: 2\nda"),
            0.05,
            Reset,
        ]

    @with_endpoints(tmp_path, script, **STREAM)
    async def check(gateway, _):
        status, body, is_complete = await gateway.stream("/job/")
        assert (status, body, is_complete) == (200, sse_events(1), False)


def test_a_resumable_stream_continues_after_its_last_complete_event(tmp_path):
    """
    Guards against a duplicate or a truncated event. An engine failed in the middle of
    an event, and another one resumed the stream.
    """

    def script(request):
        last = request.headers.get(names.LAST_EVENT_ID.lower())
        if last is None:
            return [
                stream_response_head(request)
                + http_chunk(sse_events(1, 2) + b"id: 3\nda"),
                Reset,
            ]
        return [stream_response_head(request) + http_chunk(sse_events(3)) + STREAM_END]

    @with_endpoints(tmp_path, script, script, resumable=True, **STREAM)
    async def check(gateway, *endpoints):
        assert await gateway.stream("/job/") == (200, sse_events(1, 2, 3), True)
        requests = [request for endpoint in endpoints for request in endpoint.requests]
        last_ids = {r.headers.get(names.LAST_EVENT_ID.lower()) for r in requests}
        assert last_ids == {None, "2"}


def test_a_stream_that_is_not_resumable_runs_once(tmp_path):
    def script(request):
        return [stream_response_head(request), 0.05, Reset]

    @with_endpoints(tmp_path, script, script, **STREAM)
    async def check(gateway, *endpoints):
        assert (await gateway.stream("/job/"))[0] == 502
        assert sum(len(endpoint.requests) for endpoint in endpoints) == 1


@pytest.mark.parametrize("options", [{}, STREAM])
def test_an_endpoints_call_is_cancelled_at_the_deadline(tmp_path, options):
    """Guards against endpoints occupied with calls whose callers were refused."""

    def script(request):
        first_steps = (
            [stream_response_head(request), http_chunk(sse_events(1))]
            if options
            else []
        )
        return [*first_steps, ENDLESS_S]

    @with_endpoints(tmp_path, script, **options)
    async def check(gateway, endpoint):
        if options:
            _, _, is_complete = await gateway.stream("/job/", **SHORT_DEADLINE)
            assert not is_complete
        else:
            status, _, _ = await gateway.call("/job/", **SHORT_DEADLINE)
            assert status == 504
        for request in endpoint.requests:
            await request.closed.wait()


def test_a_stream_without_length_or_chunks_ends_with_its_connection(tmp_path):
    """Guards against a caller that takes a whole stream for a broken one."""
    script = [sse_events(1), 0.05, sse_events(2), Close]

    @with_endpoints(tmp_path, lambda r: [response_head(r), *script], **STREAM)
    async def check(gateway, _):
        assert await gateway.stream("/job/") == (200, sse_events(1, 2), True)


@pytest.mark.parametrize("end", [Close, Reset])
def test_a_stream_without_length_that_ends_inside_an_event_is_broken(tmp_path, end):
    """Guards against a truncated stream that looks whole, as its connection ended."""
    script = [sse_events(1) + b"id: 2\nda", 0.05, end]

    @with_endpoints(tmp_path, lambda r: [response_head(r), *script], **STREAM)
    async def check(gateway, _):
        assert await gateway.stream("/job/") == (200, sse_events(1), False)


@pytest.mark.parametrize("end", [Close, Reset])
def test_a_resumable_stream_without_length_goes_on_after_its_last_event(tmp_path, end):
    """Guards against a stream that is given up although another engine can go on."""

    def script(request):
        if names.LAST_EVENT_ID.lower() not in request.headers:
            return [response_head(request) + sse_events(1) + b"id: 2\nda", 0.05, end]
        return [response_head(request) + sse_events(2, 3), Close]

    @with_endpoints(tmp_path, script, script, resumable=True, **STREAM)
    async def check(gateway, *_):
        assert await gateway.stream("/job/") == (200, sse_events(1, 2, 3), True)


def test_a_reset_stream_without_length_is_broken_between_events_too(tmp_path):
    """Guards against a reset that is taken for the end of a stream."""
    script = [sse_events(1), 0.05, Reset]

    @with_endpoints(tmp_path, lambda r: [response_head(r), *script], **STREAM)
    async def check(gateway, _):
        assert await gateway.stream("/job/") == (200, sse_events(1), False)
