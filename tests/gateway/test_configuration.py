"""How gateways get their configuration and what they answer without one."""

import asyncio
import json
import signal
import socket

from amaranthtally.adapter import headers as names
from amaranthtally.policy import elect_watchers
from amaranthtally.standins.store import open_store_standin
from tests.gateway.support import respond_with, route, run_with_cluster


async def call_until_status(gateway, path, expected):
    """Call until the status is as expected; the test's time-out limits the wait."""
    while (await gateway.call(path))[0] != expected:
        await asyncio.sleep(0.05)


def test_a_gateway_without_a_configuration_answers_503(tmp_path):
    """
    Guards against callers that get 404 and never retry. Their gateway had just started
    and had not read a configuration yet.
    """

    async def check(cluster):
        gateway = await cluster.start_gateway()
        assert not await gateway.is_ready()
        status, headers, _ = await gateway.call("/job/")
        assert status == 503
        assert float(headers[names.RETRY_AFTER]) > 0

    run_with_cluster(tmp_path, check)


def test_routes_and_keys_are_checked(tmp_path):
    async def check(cluster):
        await cluster.endpoint("e", "job", respond_with(b"job"))
        await cluster.endpoint("f", "open", respond_with(b"open"))
        cluster.configure(1, route("job"), route("open", public=True))
        gateway = await cluster.gateway()
        assert (await gateway.call("/other/"))[0] == 404
        assert (await gateway.call("/workshop/"))[0] == 404
        wrong = {names.AUTHORIZATION: "Token wrong"}
        assert (await gateway.call("/job/", **wrong))[0] == 401
        assert (await gateway.call("/open/", **wrong))[2] == b"open"
        assert (await gateway.call("/job/x"))[2] == b"job"

    run_with_cluster(tmp_path, check)


def test_malformed_requests_are_refused_at_once(tmp_path):
    async def check(cluster):
        await cluster.endpoint("e", "job", respond_with(b"job"))
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway()
        assert (await gateway.call("/job/", **{names.DEADLINE_MS: "soon"}))[0] == 400
        assert (await gateway.call("/job/", **{names.REQUEST_ID: "x" * 500}))[0] == 400
        assert (await gateway.call("/job/", **{names.PROMPT_PARTS: "zz:1"}))[0] == 400

    run_with_cluster(tmp_path, check)


def test_a_body_that_does_not_arrive_times_out(tmp_path):
    """
    Guards against a stopping process that waits to the end of its grace period. A
    caller had sent the headers and half of the body, and the read never ended.
    """

    async def check(cluster):
        await cluster.endpoint("e", "job", respond_with(b"job"))
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway()
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", gateway.process.ports["port"]
        )
        headers = {names.DEADLINE_MS: "300", "Content-Length": "9"}
        writer.write(gateway.request_head("POST", "/job/", **headers) + b"half")
        async with asyncio.timeout(3.0):
            assert b" 408 " in await reader.readline()
        writer.close()

    run_with_cluster(tmp_path, check)


def test_a_newer_version_is_put_in_force_and_an_older_one_is_not(tmp_path):
    async def check(cluster):
        await cluster.endpoint("old", "old", respond_with(b"old"))
        await cluster.endpoint("new", "new", respond_with(b"new"))
        cluster.configure(3, route("job", service="old"))
        gateway = await cluster.gateway()
        assert (await gateway.call("/job/"))[2] == b"old"
        cluster.configure(7, route("job", service="new"))
        await gateway.wait_for_event("configuration_in_force", version=7)
        cluster.configure(5, route("job", service="old"))
        cluster.store.put("op/config", b"not a configuration")
        await gateway.wait_for_event("configuration_malformed")
        assert (await gateway.call("/job/"))[2] == b"new"

    run_with_cluster(tmp_path, check)


def test_a_revoked_key_is_refused(tmp_path):
    async def check(cluster):
        await cluster.endpoint("e", "job", respond_with(b"job"))
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway()
        cluster.configure(2, route("job"), keys=("another",))
        await call_until_status(gateway, "/job/", 401)

    run_with_cluster(tmp_path, check)


def test_a_change_is_noticed_in_time_when_watches_deliver_no_events(tmp_path):
    """
    Guards against a revoked key that still works five seconds later. The store's
    watches delivered no events while the key was removed and did not end either.
    """

    async def check(cluster):
        await cluster.endpoint("e", "job", respond_with(b"job"))
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway()
        cluster.store.faults.unanswered_watches = True
        await asyncio.sleep(1.5)
        cluster.configure(2, route("job"), keys=("another",))
        cluster.store.compact_history()
        async with asyncio.timeout(5.0):
            await call_until_status(gateway, "/job/", 401)

    run_with_cluster(tmp_path, check)


def test_changes_that_the_stores_history_has_lost_are_read(tmp_path):
    async def check(cluster):
        await cluster.endpoint("e", "job", respond_with(b"job"))
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway()
        cluster.store.faults.unavailable = True
        await gateway.wait_for_event("store_lost")
        cluster.configure(2, route("job"), route("more", service="job"))
        cluster.store.compact_history()
        cluster.store.faults.unavailable = False
        await call_until_status(gateway, "/more/", 200)

    run_with_cluster(tmp_path, check)


def test_malformed_records_are_no_endpoints(tmp_path):
    """
    Guards against failing requests in a whole pool. Another system writes records with
    missing fields or fields of another type under the endpoints' prefix.
    """

    async def check(cluster):
        await cluster.endpoint("e", "job", respond_with(b"job"))
        valid = json.loads(cluster.store.items["servers/e"].value)
        invalid = (
            {**valid, "address": 7},
            {**valid, "address": "nowhere"},
            {**valid, "state": "sleepy"},
            {k: v for k, v in valid.items() if k != "service"},
            [],
        )
        for number, record in enumerate(invalid):
            cluster.store.put(f"servers/bad{number}", record)
        cluster.store.put("servers/bytes", b"\xff\x00")
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway()
        assert (await gateway.call("/job/"))[0] == 200
        malformed = [x for x in gateway.process.lines if "record_malformed" in x]
        assert len(malformed) == len(invalid) + 1
        assert "endpoints=1" in await gateway.wait_for_event("endpoints_read")

    run_with_cluster(tmp_path, check)


def test_a_draining_endpoint_gets_no_new_requests(tmp_path):
    async def check(cluster):
        draining = await cluster.endpoint("one", "job", respond_with(b"one"))
        await cluster.endpoint("two", "job", respond_with(b"two"))
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway()
        cluster.store.put("servers/one", draining.record("job", state="draining"))
        await gateway.wait_for_event(
            "endpoint_changed", endpoint="one", takes_calls="false"
        )
        before = len(draining.requests)
        for _ in range(10):
            assert (await gateway.call("/job/"))[2] == b"two"
        assert len(draining.requests) == before

    run_with_cluster(tmp_path, check)


def test_endpoints_whose_records_expired_in_an_outage_are_kept_for_a_while(tmp_path):
    """
    Guards against refused requests after an outage of the store. The records expired
    during the outage, and the endpoints had not registered again yet.
    """

    async def check(cluster):
        endpoint = await cluster.endpoint("e", "job", respond_with(b"job"))
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway()
        cluster.store.faults.unavailable = True
        await gateway.wait_for_event("store_lost")
        cluster.store.remove("servers/e")
        cluster.store.faults.unavailable = False
        await gateway.wait_for_event("store_regained")
        assert (await gateway.call("/job/"))[0] == 200
        cluster.store.put("servers/e", endpoint.record("job"))
        await asyncio.sleep(2.6)
        assert (await gateway.call("/job/"))[0] == 200
        cluster.store.remove("servers/e")
        await call_until_status(gateway, "/job/", 503)

    run_with_cluster(tmp_path, check)


def test_a_gateway_that_the_store_rejects_gets_changes_from_peers(tmp_path):
    """
    Guards against a revoked key that works at one gateway for as long as the store
    rejects that gateway's calls, although all peers have the change for seconds.
    """

    async def check(cluster):
        endpoint = await cluster.endpoint("e", "job", respond_with(b"job"))
        cluster.configure(1, route("job"))
        first = await cluster.gateway("first")
        await first.wait_for_event("registered")
        async with open_store_standin() as failing_store:
            for key, item in cluster.store.items.items():
                failing_store.put(key, item.value)
            second = await cluster.gateway("second", store=failing_store.address)
            failing_store.faults.unavailable = True
            await second.wait_for_event("store_lost")
            cluster.configure(2, route("job"), route("more", service="late"))
            cluster.store.put("servers/e", endpoint.record("late"))
            await second.wait_for_event("beliefs_from_peer", configuration=2)
            await call_until_status(second, "/more/", 200)

    run_with_cluster(tmp_path, check)


def test_a_burst_of_changes_costs_few_watches(tmp_path):
    """
    Guards against a fleet that calls the store five times as often while it restarts.
    Each of thirty records written within a second ended the watch of every gateway.
    """

    async def check(cluster):
        await cluster.endpoint("e", "job", respond_with(b"job"))
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway()
        await gateway.wait_for_event("registered")
        before = watches_of(cluster)
        for number in range(30):
            cluster.store.put(f"entries/other-{number}", {"address": "", "more": 1})
            await asyncio.sleep(0.01)
        cluster.configure(2, route("job"))
        await gateway.wait_for_event("configuration_in_force", version=2)
        assert watches_of(cluster) - before <= 8

    run_with_cluster(tmp_path, check)


def watches_of(cluster):
    return sum(call.startswith("GET /v1/kv-watch") for call in cluster.store.calls)


def test_unreadable_settings_leave_the_old_ones_in_force(tmp_path):
    async def check(cluster):
        await cluster.endpoint("e", "job", respond_with(b"job"))
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway()
        (tmp_path / "gateway.toml").write_text("name = ")
        gateway.process.send(signal.SIGHUP)
        await gateway.wait_for_event("settings_not_reloaded")
        assert (await gateway.call("/job/"))[0] == 200

    run_with_cluster(tmp_path, check)


def test_metrics_report_requests_and_the_gateways_state(tmp_path):
    async def check(cluster):
        await cluster.endpoint("e", "job", respond_with(b"job"))
        cluster.configure(4, route("job"))
        port = unused_port()
        gateway = await cluster.gateway(metrics_address=f"127.0.0.1:{port}")
        await gateway.call("/job/")
        await gateway.call("/nowhere/")
        async with gateway.session.get(f"http://127.0.0.1:{port}/metrics") as response:
            text = await response.text()
        assert 'amaranthtally_requests_total{reason="answered",route="job"' in text
        assert 'amaranthtally_gateway_state{name="configuration"} 4' in text
        assert 'amaranthtally_gateway_state{name="configuration_heard"} 4' in text
        assert 'amaranthtally_gateway_state{name="configuration_behind_s"} 0' in text
        assert 'store_calls_total{call="list",outcome="ended"}' in text
        assert 'store_received_bytes_total{call="list",outcome="ended"}' in text
        assert 'amaranthtally_attempts_total{fate="finished",pool="job"} 1' in text

    run_with_cluster(tmp_path, check)


def unused_port():
    """Return a loopback port that is currently free."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def test_a_gateway_that_starts_in_an_outage_gets_its_documents_from_peers(tmp_path):
    """
    Guards against gateways that are restarted during an outage of the store and answer
    503 until it ends, although their peers have the configuration and the records.
    """

    async def check(cluster):
        await cluster.endpoint("e", "job", respond_with(b"job"))
        cluster.configure(1, route("job"))
        old = await cluster.gateway("old")
        await old.wait_for_event("registered")
        address = cluster.reserve_address()
        first = await cluster.gateway("first", peer_address=address)
        await old.wait_for_event("peer_connected", peer="first")
        first.process.send(signal.SIGKILL)
        cluster.store.faults.unavailable = True
        restarted = await cluster.start_gateway("first", peer_address=address)
        async with asyncio.timeout(8.0):
            await restarted.wait_until_ready()
        assert (await restarted.call("/job/"))[2] == b"job"

    run_with_cluster(tmp_path, check)


def test_most_gateways_follow_others_and_need_no_calls_of_the_store(tmp_path):
    """
    Guards against a store that every gateway of a data centre watches, and against
    gateways that miss changes when all that watch it are killed.
    """

    async def check(cluster):
        await cluster.endpoint("old", "old", respond_with(b"old"))
        await cluster.endpoint("new", "new", respond_with(b"new"))
        cluster.configure(1, route("job", service="old"))
        names = [f"gateway-{number}" for number in range(5)]
        started = await asyncio.gather(*(cluster.gateway(name) for name in names))
        gateways = dict(zip(names, started, strict=True))
        watchers = elect_watchers(dict.fromkeys(names, "cluj-a"))
        followers = [gateways[name] for name in names if name not in watchers]
        for follower in followers:
            await follower.wait_for_event("store_not_watched")
        # The last watches of the followers end without events.
        await asyncio.sleep(3.0)
        cluster.configure(2, route("job", service="new"))
        for follower in followers:
            await follower.wait_for_event("configuration_in_force", version=2)
            line = await follower.wait_for_event("configuration_read", version=2)
            assert "source=store" not in line
            assert (await follower.call("/job/"))[2] == b"new"
        for name in watchers:
            gateways[name].process.send(signal.SIGKILL)
        cluster.configure(3, route("job", service="old"))
        async with asyncio.timeout(4.0):
            for follower in followers:
                await follower.wait_for_event("configuration_in_force", version=3)

    run_with_cluster(tmp_path, check)
