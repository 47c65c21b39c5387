"""Answers pass through whole and unchanged, or not at all."""

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

# Longer than a test may take, in seconds: an endpoint that works on makes it fail.
ENDLESS_S = 1_000.0
SHORT = {names.DEADLINE_MS: "500"}


def with_endpoints(tmp_path, *scripts, kind="idempotent", **options):
    """Return a decorator that runs a test with endpoints of one route."""

    def decorate(test):
        async def run():
            async with open_gateway_cluster(tmp_path) as cluster:
                made = [
                    await cluster.endpoint(f"e{n}", "job", script)
                    for n, script in enumerate(scripts)
                ]
                cluster.configure(1, route("job", kind, **options))
                await test(await cluster.gateway(), *made)

        run_async(run())

    return decorate


def test_a_request_and_its_answer_pass_unchanged(tmp_path):
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
        (seen,) = endpoint.seen
        assert (seen.method, seen.target, seen.body) == (
            "POST",
            "/job/a%2Fb?q=%41",
            b"question",
        )
        assert seen.headers["x_mine"] == "1"
        assert 3500 < int(seen.headers[names.DEADLINE_MS.lower()]) <= 4000
        assert seen.headers[names.EXPECTED_ID.lower()] == "e0"
        assert seen.headers[names.ACCOUNT.lower()] == "account"


def test_a_caller_can_set_nothing_that_is_the_systems(tmp_path):
    """
    A caller passes for another account, skips an engine's queue, or holds its memory.
    It sent the headers by which the system tells endpoints so.
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
        seen = endpoint.seen[0].headers
        assert "forged" not in seen.values()
        assert "x-once" not in seen
        assert KEY not in str(seen)


def test_an_answer_left_on_a_connection_is_given_to_nobody(tmp_path):
    """
    A caller gets the answer of another one. An endpoint answered twice, and its second
    answer came on the kept connection just where the next one was due.
    """

    def script(request):
        count = len(first.seen) if (first := script.endpoint) else 0
        if count == 2:
            stale = complete_response(script.endpoint.seen[0], b"stale")
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
def test_a_spoiled_answer_is_not_passed_on(tmp_path, fault):
    """
    A caller gets half an answer as the whole one. The endpoint's connection was reset
    in an answer without a length, or its bytes were no answer at all.
    """

    def bad(request):
        return {
            "reset": [response_head(request) + b"half", 0.1, Reset],
            "short": [response_head(request, length=10) + b"half", Close],
            "unsigned": [complete_response(request, signed=False)],
            "nonsense": [b"\x00\x01 no answer\r\n\r\n", Close],
        }[fault]

    @with_endpoints(tmp_path, bad, kind="non_idempotent")
    async def check(gateway, endpoint):
        status, headers, _ = await gateway.call("/job/")
        assert status == 502
        assert names.SIGNATURE not in headers
        assert len(endpoint.seen) == 1


def test_an_answer_without_a_length_ends_with_its_connection(tmp_path):
    @with_endpoints(tmp_path, lambda r: [response_head(r) + b"all of it", Close])
    async def check(gateway, _):
        assert (await gateway.call("/job/"))[2] == b"all of it"


def test_an_early_answer_to_a_long_request_is_passed_on(tmp_path):
    """
    The next request on a connection is read as the rest of a long body. An endpoint
    answers before it has read that body, and reads on later.
    """

    @with_endpoints(tmp_path, lambda r: [complete_response(r, b"early")])
    async def check(gateway, endpoint):
        for _ in range(3):
            _, _, body = await gateway.call("/job/", body=b"x" * 300_000)
            assert body == b"early"
        assert {len(seen.body) for seen in endpoint.seen} == {300_000}


# Repeats


def test_what_may_not_run_twice_is_never_sent_again(tmp_path):
    """
    Two trucks are sent. The endpoint ran the order and its connection broke before
    the answer; the HTTP library sends some methods again by itself then.
    """

    @with_endpoints(
        tmp_path,
        lambda r: [0.05, Reset],
        lambda r: [0.05, Reset],
        kind="non_idempotent",
    )
    async def check(gateway, one, two):
        for method in ("POST", "PUT", "DELETE", "GET"):
            status, headers, _ = await gateway.call("/job/", method=method)
            assert status == 502
            assert names.RETRY_AFTER not in headers
        ids = [seen.id for seen in one.seen + two.seen]
        assert len(ids) == len(set(ids)) == 4


def test_a_kept_connection_that_ends_unheard_is_not_tried_again(tmp_path):
    """
    An order runs twice. The endpoint closed a kept connection as the order came; the
    HTTP library would have sent it once more on a new one.
    """

    def script(request):
        first = len(script.seen) == 0
        script.seen.append(request)
        return [complete_response(request)] if first else [Close]

    script.seen = []

    @with_endpoints(tmp_path, script, kind="non_idempotent")
    async def check(gateway, endpoint):
        assert (await gateway.call("/job/", method="DELETE"))[0] == 200
        assert (await gateway.call("/job/", method="DELETE"))[0] == 502
        assert len(endpoint.seen) == 2


def test_a_refusal_by_an_endpoint_is_tried_elsewhere(tmp_path):
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


def test_a_refusal_by_every_endpoint_is_told_truly(tmp_path):
    @with_endpoints(
        tmp_path, lambda r: [not_executed_response(r)], kind="non_idempotent"
    )
    async def check(gateway, _):
        status, headers, _ = await gateway.call("/job/")
        assert status == 503
        assert float(headers[names.RETRY_AFTER]) > 0


def test_an_endpoint_that_is_another_one_by_now_runs_nothing(tmp_path):
    """
    A request runs in the wrong pool. The address of an endpoint that has gone was
    given to another; it says that it is not the one meant.
    """
    other = not_executed_response

    @with_endpoints(
        tmp_path,
        lambda r: [other(r, "421 Misdirected Request")],
        lambda r: [complete_response(r, b"done")],
    )
    async def check(gateway, *_):
        for _ in range(4):
            assert (await gateway.call("/job/"))[0] == 200


def test_an_endpoints_own_failure_is_passed_on_where_none_does_better(tmp_path):
    def failing(request):
        return [complete_response(request, b"broken", "500 Internal Server Error")]

    @with_endpoints(tmp_path, failing, failing)
    async def check(gateway, *_):
        status, headers, body = await gateway.call("/job/", method="GET")
        assert (status, body) == (500, b"broken")
        assert headers[names.SIGNATURE] == SIGNATURE


def test_no_more_attempts_than_the_route_allows(tmp_path):
    def failing(request):
        return [complete_response(request, b"broken", "500 Internal Server Error")]

    @with_endpoints(tmp_path, failing, failing, failing, maxAttempts=2)
    async def check(gateway, *made):
        await gateway.call("/job/", method="GET")
        assert sum(len(endpoint.seen) for endpoint in made) == 2


def test_an_endpoint_that_does_not_answer_costs_its_caller_only_its_time(tmp_path):
    @with_endpoints(tmp_path, lambda r: [30.0], kind="non_idempotent", timeoutMs=400)
    async def check(gateway, endpoint):
        started = asyncio.get_running_loop().time()
        assert (await gateway.call("/job/"))[0] == 504
        assert asyncio.get_running_loop().time() - started < 2.0
        async with asyncio.timeout(2.0):
            await endpoint.seen[0].closed.wait()


def test_nothing_is_left_at_work_for_a_caller_that_has_gone(tmp_path):
    """
    An endpoint works for nobody. Its caller closed the connection seconds ago.
    """

    @with_endpoints(tmp_path, lambda r: [30.0])
    async def check(gateway, endpoint):
        call = asyncio.create_task(gateway.call("/job/"))
        while not endpoint.seen:
            await asyncio.sleep(0.02)
        call.cancel()
        async with asyncio.timeout(2.0):
            await endpoint.seen[0].closed.wait()


# Streams


def streaming(*steps):
    return lambda request: [stream_response_head(request), *steps, STREAM_END]


def test_a_stream_passes_as_it_comes(tmp_path):
    @with_endpoints(
        tmp_path,
        streaming(http_chunk(sse_events(1)), 0.05, http_chunk(sse_events(2))),
        **STREAM,
    )
    async def check(gateway, _):
        assert await gateway.stream("/job/") == (200, sse_events(1, 2), True)


def test_a_stream_that_breaks_does_not_look_whole(tmp_path):
    """
    A caller takes half a text for the whole. The engine's connection broke, and the
    caller's ended as every whole stream does.
    """

    def script(request):
        return [
            stream_response_head(request) + http_chunk(sse_events(1) + b"id: 2\nda"),
            0.05,
            Reset,
        ]

    @with_endpoints(tmp_path, script, **STREAM)
    async def check(gateway, _):
        status, body, is_whole = await gateway.stream("/job/")
        assert (status, body, is_whole) == (200, sse_events(1), False)


def test_a_resumable_stream_goes_on_elsewhere_after_its_last_whole_event(tmp_path):
    """
    A caller reads one event twice, or a torn one. The engine broke off inside an
    event, and another one went on.
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
    async def check(gateway, *made):
        assert await gateway.stream("/job/") == (200, sse_events(1, 2, 3), True)
        seen = [s for endpoint in made for s in endpoint.seen]
        lasts = {s.headers.get(names.LAST_EVENT_ID.lower()) for s in seen}
        assert lasts == {None, "2"}


def test_a_stream_that_may_not_be_resumed_runs_once(tmp_path):
    def script(request):
        return [stream_response_head(request), 0.05, Reset]

    @with_endpoints(tmp_path, script, script, **STREAM)
    async def check(gateway, *made):
        assert (await gateway.stream("/job/"))[0] == 502
        assert sum(len(endpoint.seen) for endpoint in made) == 1


@pytest.mark.parametrize("options", [{}, STREAM])
def test_an_endpoint_is_let_go_at_the_deadline_of_its_request(tmp_path, options):
    """Endpoints work on for callers that have been refused, and are full of it."""

    def script(request):
        begun = (
            [stream_response_head(request), http_chunk(sse_events(1))]
            if options
            else []
        )
        return [*begun, ENDLESS_S]

    @with_endpoints(tmp_path, script, **options)
    async def check(gateway, endpoint):
        if options:
            _, _, is_whole = await gateway.stream("/job/", **SHORT)
            assert not is_whole
        else:
            status, _, _ = await gateway.call("/job/", **SHORT)
            assert status == 504
        for seen in endpoint.seen:
            await seen.closed.wait()
