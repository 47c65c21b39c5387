"""What is in force, where it comes from, and what a gateway says without it."""

import asyncio
import json
import signal
import socket

from amaranthtally.adapter import headers as names
from amaranthtally.standins.store import open_store_standin
from tests.gateway.support import respond_with, route, run_with_cluster


async def until_answered(gateway, path, wanted):
    """Call until the status is as wanted; bounded by the test's own limit."""
    while (await gateway.call(path))[0] != wanted:
        await asyncio.sleep(0.05)


def test_a_gateway_that_knows_nothing_yet_does_not_deny(tmp_path):
    """
    Callers get 404 and never come back. Their gateway had just started and had read
    no configuration.
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


def test_a_body_that_does_not_come_is_not_waited_for(tmp_path):
    """
    A process that is told to stop waits to the end of its grace. A caller had sent a
    head and half of a body, and its request was read for ever.
    """

    async def check(cluster):
        await cluster.endpoint("e", "job", respond_with(b"job"))
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway()
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", gateway.process.ports["port"]
        )
        headers = gateway.headers(**{names.DEADLINE_MS: "300", "Content-Length": "9"})
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join(["POST /job/ HTTP/1.1", *lines, "", "half"])
        writer.write(head.encode())
        async with asyncio.timeout(3.0):
            assert b" 408 " in await reader.readline()
        writer.close()

    run_with_cluster(tmp_path, check)


def test_a_change_is_in_force_and_an_older_version_never_comes_back(tmp_path):
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
        await until_answered(gateway, "/job/", 401)

    run_with_cluster(tmp_path, check)


def test_a_watch_that_goes_silent_hides_no_change_for_long(tmp_path):
    """
    A revoked key still works five seconds later. The store's watches heard nothing
    while it was taken away, and did not end either.
    """

    async def check(cluster):
        await cluster.endpoint("e", "job", respond_with(b"job"))
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway()
        cluster.store.outage.silent_watches = True
        await asyncio.sleep(1.5)
        cluster.configure(2, route("job"), keys=("another",))
        cluster.store.forget_history()
        async with asyncio.timeout(5.0):
            await until_answered(gateway, "/job/", 401)

    run_with_cluster(tmp_path, check)


def test_changes_made_while_history_was_lost_are_read_anew(tmp_path):
    async def check(cluster):
        await cluster.endpoint("e", "job", respond_with(b"job"))
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway()
        cluster.store.outage.down = True
        await gateway.wait_for_event("store_lost")
        cluster.configure(2, route("job"), route("more", service="job"))
        cluster.store.forget_history()
        cluster.store.outage.down = False
        await until_answered(gateway, "/more/", 200)

    run_with_cluster(tmp_path, check)


def test_records_of_others_name_no_endpoint(tmp_path):
    """
    Every request fails in one pool. Somebody else writes into the endpoints' part of
    the store, with fields missing or of another type.
    """

    async def check(cluster):
        await cluster.endpoint("e", "job", respond_with(b"job"))
        good = json.loads(cluster.store.items["servers/e"].value)
        bad = (
            {**good, "address": 7},
            {**good, "address": "nowhere"},
            {**good, "state": "sleepy"},
            {k: v for k, v in good.items() if k != "service"},
            [],
        )
        for number, record in enumerate(bad):
            cluster.store.put(f"servers/bad{number}", record)
        cluster.store.put("servers/bytes", b"\xff\x00")
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway()
        assert (await gateway.call("/job/"))[0] == 200
        malformed = [x for x in gateway.process.lines if "record_malformed" in x]
        assert len(malformed) == len(bad) + 1
        assert "endpoints=1" in await gateway.wait_for_event("endpoints_read")

    run_with_cluster(tmp_path, check)


def test_an_endpoint_that_leaves_gets_nothing_new(tmp_path):
    async def check(cluster):
        one = await cluster.endpoint("one", "job", respond_with(b"one"))
        await cluster.endpoint("two", "job", respond_with(b"two"))
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway()
        cluster.store.put("servers/one", one.record("job", state="draining"))
        await gateway.wait_for_event(
            "endpoint_changed", endpoint="one", takes_calls="false"
        )
        before = len(one.seen)
        for _ in range(10):
            assert (await gateway.call("/job/"))[2] == b"two"
        assert len(one.seen) == before

    run_with_cluster(tmp_path, check)


def test_endpoints_outlast_an_outage_in_which_their_records_ran_out(tmp_path):
    """
    Every request is refused after an outage. The records ran out while the store was
    away, and the endpoints had not written again yet.
    """

    async def check(cluster):
        endpoint = await cluster.endpoint("e", "job", respond_with(b"job"))
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway()
        cluster.store.outage.down = True
        await gateway.wait_for_event("store_lost")
        cluster.store.remove("servers/e")
        cluster.store.outage.down = False
        await gateway.wait_for_event("store_regained")
        assert (await gateway.call("/job/"))[0] == 200
        cluster.store.put("servers/e", endpoint.record("job"))
        await asyncio.sleep(2.6)
        assert (await gateway.call("/job/"))[0] == 200
        cluster.store.remove("servers/e")
        await until_answered(gateway, "/job/", 503)

    run_with_cluster(tmp_path, check)


def test_a_gateway_that_the_store_turns_away_hears_of_changes_from_peers(tmp_path):
    """
    A revoked key works at one gateway for as long as the store turns its host away,
    though every other gateway has known better for seconds.
    """

    async def check(cluster):
        endpoint = await cluster.endpoint("e", "job", respond_with(b"job"))
        cluster.configure(1, route("job"))
        first = await cluster.gateway("first")
        await first.wait_for_event("registered")
        async with open_store_standin() as turning_away:
            for key, item in cluster.store.items.items():
                turning_away.put(key, item.value)
            second = await cluster.gateway("second", store=turning_away.address)
            turning_away.outage.down = True
            await second.wait_for_event("store_lost")
            cluster.configure(2, route("job"), route("more", service="late"))
            cluster.store.put("servers/e", endpoint.record("late"))
            await second.wait_for_event("beliefs_from_peer", configuration=2)
            await until_answered(second, "/more/", 200)

    run_with_cluster(tmp_path, check)


def test_changes_that_come_together_cost_a_watch_or_two(tmp_path):
    """
    A fleet that restarts asks the store five times as often as a calm one. Each of
    thirty records that came within a second ended the watch of every gateway.
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


def test_settings_that_can_not_be_read_leave_the_old_in_force(tmp_path):
    async def check(cluster):
        await cluster.endpoint("e", "job", respond_with(b"job"))
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway()
        (tmp_path / "gateway.toml").write_text("name = ")
        gateway.process.send(signal.SIGHUP)
        await gateway.wait_for_event("settings_not_reloaded")
        assert (await gateway.call("/job/"))[0] == 200

    run_with_cluster(tmp_path, check)


def test_metrics_tell_what_was_served_and_what_is_believed(tmp_path):
    async def check(cluster):
        await cluster.endpoint("e", "job", respond_with(b"job"))
        cluster.configure(4, route("job"))
        port = unused_port()
        gateway = await cluster.gateway(metrics_address=f"127.0.0.1:{port}")
        await gateway.call("/job/")
        await gateway.call("/nowhere/")
        async with gateway.session.get(f"http://127.0.0.1:{port}/metrics") as answer:
            text = await answer.text()
        assert 'amaranthtally_requests_total{reason="answered",route="job"' in text
        assert 'amaranthtally_gateway_state{name="configuration"} 4' in text
        assert 'amaranthtally_gateway_state{name="configuration_heard"} 4' in text
        assert 'amaranthtally_gateway_state{name="configuration_behind_s"} 0' in text
        assert 'store_calls_total{call="list",outcome="ended"}' in text
        assert 'store_received_bytes_total{call="list",outcome="ended"}' in text
        assert 'amaranthtally_attempts_total{fate="finished",pool="job"} 1' in text

    run_with_cluster(tmp_path, check)


def unused_port():
    """Return a port of loopback that the kernel has just given out."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def test_a_gateway_that_starts_in_an_outage_learns_from_its_peers(tmp_path):
    """
    Gateways that are restarted while the store is away answer 503 until it is back,
    beside others that have all that they need.
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
        cluster.store.outage.down = True
        again = await cluster.start_gateway("first", peer_address=address)
        async with asyncio.timeout(8.0):
            await again.wait_until_ready()
        assert (await again.call("/job/"))[2] == b"job"

    run_with_cluster(tmp_path, check)
