"""Pieces at gateways: batched calls, inputs, and gateways that leave or fail."""

import asyncio
import json
import signal
from functools import partial

from amaranthtally.adapter import headers as names
from tests.gateway.fake_endpoint import (
    complete_response,
    not_executed_response,
    piece_script,
    sse_events,
)
from tests.gateway.support import (
    SEGMENTS,
    STREAM,
    open_gateway_cluster,
    piece_headers,
    pieces_of,
    route,
)
from tests.support import run_async

GRAPH = [
    {"service": "first", "after": [], "sizeBytes": 1000},
    {"service": "second", "after": [0], "sizeBytes": 1000},
]
SERVICES = [{"name": name, "segments": SEGMENTS} for name in ("first", "second")]


TEXT = sse_events(1)


def run_with_cluster(tmp_path, test, stages=GRAPH, **options):
    """Run a test with a new cluster that has an engine and two stages before it."""

    async def run():
        async with open_gateway_cluster(tmp_path) as cluster:
            for pool in ("first", "second"):
                endpoint = await cluster.endpoint(pool, pool, piece_script())
                setattr(cluster, pool, endpoint)
            cluster.engine = await cluster.endpoint(
                "engine", "engine", lambda r: [complete_response(r, TEXT)]
            )
            staged_route = route(
                "ask", phases=stages, service="engine", **STREAM | options
            )
            cluster.configure(1, staged_route, services=SERVICES)
            await test(cluster)

    run_async(run())


def test_an_engine_gets_every_result_of_the_last_stage(tmp_path):
    async def check(cluster):
        gateway = await cluster.gateway()
        status, _, body = await gateway.call("/ask/", **piece_headers("2,3"))
        assert (status, body) == (200, TEXT)
        first, second = pieces_of(cluster.first), pieces_of(cluster.second)
        assert [(p["phase"], p["segment"], p["key"]) for p in first] == [
            (0, 0, "input"),
            (0, 1, "input"),
        ]
        assert len(second) == 3
        assert all(len(piece["inputHandles"]) == 2 for piece in second)
        assert "key" not in second[0]
        handles = cluster.engine.requests[0].headers[names.INPUT_HANDLES.lower()]
        assert len(handles.split(",")) == 3

    run_with_cluster(tmp_path, check)


def test_pieces_of_several_requests_share_calls(tmp_path):
    async def check(cluster):
        gateway = await cluster.gateway()
        calls = [gateway.call("/ask/", **piece_headers("1,1")) for _ in range(8)]
        responses = await asyncio.gather(*calls)
        assert {status for status, _, _ in responses} == {200}
        assert len(pieces_of(cluster.first)) == 8
        runs = [s for s in cluster.first.requests if s.target.endswith("run")]
        assert len(runs) <= 4

    run_with_cluster(tmp_path, check)


def test_results_are_freed_after_use(tmp_path):
    async def check(cluster):
        gateway = await cluster.gateway()
        await gateway.call("/ask/", **piece_headers("2,1"))
        async with asyncio.timeout(2.0):
            while len(freed(cluster.first)) + len(freed(cluster.second)) < 3:
                await asyncio.sleep(0.02)

    run_with_cluster(tmp_path, check)


def freed(endpoint):
    """Return the handles in the calls that free results at an endpoint."""
    frees = [s for s in endpoint.requests if s.target.endswith("free")]
    return {handle for s in frees for handle in json.loads(s.body)["handles"]}


def test_only_one_of_two_gateways_calls_an_endpoint(tmp_path):
    """
    Guards against an endpoint that refuses calls because its queue is full. Two entries
    called it without coordinating their calls.
    """

    async def check(cluster):
        gateways = [await cluster.gateway(name) for name in ("one", "two")]
        for gateway, peer in zip(gateways, reversed(gateways), strict=True):
            await gateway.wait_for_event("peer_connected", peer=peer.process.name)
        calls = [
            g.call("/ask/", **piece_headers("1,1")) for g in gateways for _ in range(4)
        ]
        responses = await asyncio.gather(*calls)
        assert {status for status, _, _ in responses} == {200}
        assert cluster.first.connections <= 2
        callers = [g for g in gateways if any("pieces_ended" in x for x in lines_of(g))]
        assert callers
        for pool in ("first", "second"):
            owners = [
                g
                for g in gateways
                if any(
                    f"endpoint={pool}" in x and "pieces_ended" in x for x in lines_of(g)
                )
            ]
            assert len(owners) == 1

    run_with_cluster(tmp_path, check)


def lines_of(gateway):
    return list(gateway.process.lines)


def test_a_request_succeeds_when_the_gateway_that_runs_its_jobs_fails(tmp_path):
    """
    Guards against a request that waits until its deadline. The gateway that its jobs
    were submitted to had been killed.
    """

    async def check(cluster):
        gateways = [await cluster.gateway(name) for name in ("one", "two")]
        for gateway, peer in zip(gateways, reversed(gateways), strict=True):
            await gateway.wait_for_event("peer_connected", peer=peer.process.name)
        await asyncio.gather(
            *(g.call("/ask/", **piece_headers("1,1")) for g in gateways)
        )
        for gateway in gateways:
            peer = next(g for g in gateways if g is not gateway)
            if any("endpoint=first" in x for x in lines_of(peer)):
                break
        peer.process.send(signal.SIGKILL)
        async with asyncio.timeout(3.0):
            assert (await gateway.call("/ask/", **piece_headers("1,1")))[0] == 200

    run_with_cluster(tmp_path, check)


def test_a_restarted_gateway_runs_jobs_at_once(tmp_path):
    """
    Guards against two gateways that call the same endpoints after a restart of all. One
    submits jobs to a peer that is still starting, takes it for failed and calls the
    endpoints itself; the peer is ready a moment later and calls them as well.
    """

    async def check(cluster):
        submitter, owner = await two_gateways(cluster)
        owner.process.send(signal.SIGKILL)
        await owner.process.wait()
        assert (await submitter.call("/ask/", **piece_headers("1,1")))[0] == 200
        await submitter.wait_for_event("peer_lost", peer=owner.process.name)
        restarted = await cluster.gateway(owner.process.name)
        await submitter.wait_for_event("peer_back", peer=owner.process.name)
        assert (await submitter.call("/ask/", **piece_headers("1,1")))[0] == 200
        assert [x for x in lines_of(restarted) if "endpoint=first" in x]

    run_with_cluster(tmp_path, check)


def test_a_lost_result_is_recomputed_for_a_request_that_did_not_run(tmp_path):
    """
    Guards against a refusal of a request that has not run. The engine could not read an
    input, because the endpoint that stored the result had restarted.
    """

    async def check(cluster):
        gateway = await cluster.gateway()
        answers = iter([lambda r: not_executed_response(r, "409 Conflict")])
        complete = partial(complete_response, body=TEXT)
        cluster.engine.script = lambda r: [next(answers, complete)(r)]
        assert (await gateway.call("/ask/", **piece_headers("1,1")))[0] == 200
        assert len(pieces_of(cluster.second)) == 2

    run_with_cluster(tmp_path, check)


async def two_gateways(cluster):
    """Return two connected gateways; the second one calls endpoint ``first``."""
    gateways = [await cluster.gateway(name) for name in ("one", "two")]
    for gateway, peer in zip(gateways, reversed(gateways), strict=True):
        await gateway.wait_for_event("peer_connected", peer=peer.process.name)
    await asyncio.gather(*(g.call("/ask/", **piece_headers("1,1")) for g in gateways))
    first, second = gateways
    second_is_owner = any("endpoint=first" in line for line in lines_of(second))
    return (first, second) if second_is_owner else (second, first)


def slow_pieces(seconds):
    """Return a script that completes pieces after a delay."""
    script = piece_script()
    return lambda request: [seconds, *script(request)]


def test_a_leaving_gateway_gets_the_results_of_its_submitted_jobs(tmp_path):
    """
    Guards against requests that a leaving gateway refuses after seconds of work. The
    gateway removes its record first. Its peers dropped its address with the record, and
    the owner that ran its jobs could not report their outcomes.
    """

    async def check(cluster):
        submitter, owner = await two_gateways(cluster)
        cluster.first.script = slow_pieces(0.3)
        call = asyncio.create_task(submitter.call("/ask/", **piece_headers("1,1")))
        await submitter.wait_for_event("request_received", pieces="1,1")
        async with asyncio.timeout(2.0):
            while len(pieces_of(cluster.first)) < 3:
                await asyncio.sleep(0.02)
        submitter.process.send(signal.SIGTERM)
        await owner.wait_for_event("peer_left", peer=submitter.process.name)
        async with asyncio.timeout(2.0):
            status, _, body = await call
        assert (status, body) == (200, TEXT)
        assert not [x for x in lines_of(owner) if "event=peer_not_told" in x]

    run_with_cluster(tmp_path, check)


def test_a_gateway_whose_lease_has_expired_keeps_its_endpoints(tmp_path):
    """
    Guards against two gateways that call the same endpoint and fill its queue. The
    store had rejected one gateway's calls until its lease expired, and the other one
    took it for stopped.
    """

    async def check(cluster):
        submitter, owner = await two_gateways(cluster)
        cluster.store.remove(f"entries/{owner.process.name}")
        await submitter.wait_for_event("peer_doubted", peer=owner.process.name)
        for _ in range(8):
            assert (await submitter.call("/ask/", **piece_headers("1,1")))[0] == 200
            await asyncio.sleep(0.5)
        assert not [x for x in lines_of(submitter) if "endpoint=first" in x]

    run_with_cluster(tmp_path, check)
