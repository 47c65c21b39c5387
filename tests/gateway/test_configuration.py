"""What is in force, where it comes from, and what a gateway says without it."""

import asyncio
import json
import signal
import socket

from amaranthtally.adapter import headers as names
from amaranthtally.standins.store import open_store_standin
from tests.gateway.support import answering, in_world, route


async def until_answered(gateway, path, wanted):
    """Call until the status is as wanted; bounded by the test's own limit."""
    while (await gateway.call(path))[0] != wanted:
        await asyncio.sleep(0.05)


def test_a_gateway_that_knows_nothing_yet_does_not_deny(tmp_path):
    """
    Callers get 404 and never come back. Their gateway had just started and had read
    no configuration.
    """

    async def check(world):
        gateway = await world.unready_gateway()
        assert not await gateway.is_ready()
        status, headers, _ = await gateway.call("/job/")
        assert status == 503
        assert float(headers[names.RETRY_AFTER]) > 0

    in_world(tmp_path, check)


def test_routes_and_keys_are_checked(tmp_path):
    async def check(world):
        await world.endpoint("e", "job", answering(b"job"))
        await world.endpoint("f", "open", answering(b"open"))
        world.configure(1, route("job"), route("open", public=True))
        gateway = await world.gateway()
        assert (await gateway.call("/other/"))[0] == 404
        assert (await gateway.call("/workshop/"))[0] == 404
        wrong = {names.AUTHORIZATION: "Token wrong"}
        assert (await gateway.call("/job/", **wrong))[0] == 401
        assert (await gateway.call("/open/", **wrong))[2] == b"open"
        assert (await gateway.call("/job/x"))[2] == b"job"

    in_world(tmp_path, check)


def test_malformed_requests_are_refused_at_once(tmp_path):
    async def check(world):
        await world.endpoint("e", "job", answering(b"job"))
        world.configure(1, route("job"))
        gateway = await world.gateway()
        assert (await gateway.call("/job/", **{names.DEADLINE_MS: "soon"}))[0] == 400
        assert (await gateway.call("/job/", **{names.REQUEST_ID: "x" * 500}))[0] == 400
        assert (await gateway.call("/job/", **{names.PROMPT_PARTS: "zz:1"}))[0] == 400

    in_world(tmp_path, check)


def test_a_body_that_does_not_come_is_not_waited_for(tmp_path):
    """
    A process that is told to stop waits to the end of its grace. A caller had sent a
    head and half of a body, and its request was read for ever.
    """

    async def check(world):
        await world.endpoint("e", "job", answering(b"job"))
        world.configure(1, route("job"))
        gateway = await world.gateway()
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

    in_world(tmp_path, check)


def test_a_change_is_in_force_and_an_older_version_never_comes_back(tmp_path):
    async def check(world):
        await world.endpoint("old", "old", answering(b"old"))
        await world.endpoint("new", "new", answering(b"new"))
        world.configure(3, route("job", service="old"))
        gateway = await world.gateway()
        assert (await gateway.call("/job/"))[2] == b"old"
        world.configure(7, route("job", service="new"))
        await gateway.until("configuration_in_force", version=7)
        world.configure(5, route("job", service="old"))
        world.store.put("op/config", b"not a configuration")
        await gateway.until("configuration_malformed")
        assert (await gateway.call("/job/"))[2] == b"new"

    in_world(tmp_path, check)


def test_a_revoked_key_is_refused(tmp_path):
    async def check(world):
        await world.endpoint("e", "job", answering(b"job"))
        world.configure(1, route("job"))
        gateway = await world.gateway()
        world.configure(2, route("job"), keys=("another",))
        await until_answered(gateway, "/job/", 401)

    in_world(tmp_path, check)


def test_a_watch_that_goes_silent_hides_no_change_for_long(tmp_path):
    """
    A revoked key still works five seconds later. The store's watches heard nothing
    while it was taken away, and did not end either.
    """

    async def check(world):
        await world.endpoint("e", "job", answering(b"job"))
        world.configure(1, route("job"))
        gateway = await world.gateway()
        world.store.outage.silent_watches = True
        await asyncio.sleep(1.5)
        world.configure(2, route("job"), keys=("another",))
        world.store.forget_history()
        async with asyncio.timeout(5.0):
            await until_answered(gateway, "/job/", 401)

    in_world(tmp_path, check)


def test_changes_made_while_history_was_lost_are_read_anew(tmp_path):
    async def check(world):
        await world.endpoint("e", "job", answering(b"job"))
        world.configure(1, route("job"))
        gateway = await world.gateway()
        world.store.outage.down = True
        await gateway.until("store_lost")
        world.configure(2, route("job"), route("more", service="job"))
        world.store.forget_history()
        world.store.outage.down = False
        await until_answered(gateway, "/more/", 200)

    in_world(tmp_path, check)


def test_records_of_others_name_no_endpoint(tmp_path):
    """
    Every request fails in one pool. Somebody else writes into the endpoints' part of
    the store, with fields missing or of another type.
    """

    async def check(world):
        await world.endpoint("e", "job", answering(b"job"))
        good = json.loads(world.store.items["servers/e"].value)
        bad = (
            {**good, "address": 7},
            {**good, "address": "nowhere"},
            {**good, "state": "sleepy"},
            {k: v for k, v in good.items() if k != "service"},
            [],
        )
        for number, record in enumerate(bad):
            world.store.put(f"servers/bad{number}", record)
        world.store.put("servers/bytes", b"\xff\x00")
        world.configure(1, route("job"))
        gateway = await world.gateway()
        assert (await gateway.call("/job/"))[0] == 200
        malformed = [x for x in gateway.process.lines if "record_malformed" in x]
        assert len(malformed) == len(bad) + 1
        assert "endpoints=1" in await gateway.until("endpoints_read")

    in_world(tmp_path, check)


def test_an_endpoint_that_leaves_gets_nothing_new(tmp_path):
    async def check(world):
        one = await world.endpoint("one", "job", answering(b"one"))
        await world.endpoint("two", "job", answering(b"two"))
        world.configure(1, route("job"))
        gateway = await world.gateway()
        world.store.put("servers/one", one.record("job", state="draining"))
        await gateway.until("endpoint_changed", endpoint="one", takes_calls="false")
        before = len(one.seen)
        for _ in range(10):
            assert (await gateway.call("/job/"))[2] == b"two"
        assert len(one.seen) == before

    in_world(tmp_path, check)


def test_endpoints_outlast_an_outage_in_which_their_records_ran_out(tmp_path):
    """
    Every request is refused after an outage. The records ran out while the store was
    away, and the endpoints had not written again yet.
    """

    async def check(world):
        endpoint = await world.endpoint("e", "job", answering(b"job"))
        world.configure(1, route("job"))
        gateway = await world.gateway()
        world.store.outage.down = True
        await gateway.until("store_lost")
        world.store.remove("servers/e")
        world.store.outage.down = False
        await gateway.until("store_regained")
        assert (await gateway.call("/job/"))[0] == 200
        world.store.put("servers/e", endpoint.record("job"))
        await asyncio.sleep(2.6)
        assert (await gateway.call("/job/"))[0] == 200
        world.store.remove("servers/e")
        await until_answered(gateway, "/job/", 503)

    in_world(tmp_path, check)


def test_a_gateway_that_the_store_turns_away_hears_of_changes_from_peers(tmp_path):
    """
    A revoked key works at one gateway for as long as the store turns its host away,
    though every other gateway has known better for seconds.
    """

    async def check(world):
        endpoint = await world.endpoint("e", "job", answering(b"job"))
        world.configure(1, route("job"))
        first = await world.gateway("first")
        await first.until("registered")
        async with open_store_standin() as turning_away:
            for key, item in world.store.items.items():
                turning_away.put(key, item.value)
            second = await world.gateway("second", store=turning_away.address)
            turning_away.outage.down = True
            await second.until("store_lost")
            world.configure(2, route("job"), route("more", service="late"))
            world.store.put("servers/e", endpoint.record("late"))
            await second.until("beliefs_from_peer", configuration=2)
            await until_answered(second, "/more/", 200)

    in_world(tmp_path, check)


def test_changes_that_come_together_cost_a_watch_or_two(tmp_path):
    """
    A fleet that restarts asks the store five times as often as a calm one. Each of
    thirty records that came within a second ended the watch of every gateway.
    """

    async def check(world):
        await world.endpoint("e", "job", answering(b"job"))
        world.configure(1, route("job"))
        gateway = await world.gateway()
        await gateway.until("registered")
        before = watches_of(world)
        for number in range(30):
            world.store.put(f"entries/other-{number}", {"address": "", "more": 1})
            await asyncio.sleep(0.01)
        world.configure(2, route("job"))
        await gateway.until("configuration_in_force", version=2)
        assert watches_of(world) - before <= 8

    in_world(tmp_path, check)


def watches_of(world):
    return sum(call.startswith("GET /v1/kv-watch") for call in world.store.calls)


def test_settings_that_can_not_be_read_leave_the_old_in_force(tmp_path):
    async def check(world):
        await world.endpoint("e", "job", answering(b"job"))
        world.configure(1, route("job"))
        gateway = await world.gateway()
        (tmp_path / "gateway.toml").write_text("name = ")
        gateway.process.send(signal.SIGHUP)
        await gateway.until("settings_not_reloaded")
        assert (await gateway.call("/job/"))[0] == 200

    in_world(tmp_path, check)


def test_metrics_tell_what_was_served_and_what_is_believed(tmp_path):
    async def check(world):
        await world.endpoint("e", "job", answering(b"job"))
        world.configure(4, route("job"))
        port = unused_port()
        gateway = await world.gateway(metrics_address=f"127.0.0.1:{port}")
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

    in_world(tmp_path, check)


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

    async def check(world):
        await world.endpoint("e", "job", answering(b"job"))
        world.configure(1, route("job"))
        old = await world.gateway("old")
        await old.until("registered")
        address = world.own_address()
        first = await world.gateway("first", peer_address=address)
        await old.until("peer_connected", peer="first")
        first.process.send(signal.SIGKILL)
        world.store.outage.down = True
        again = await world.unready_gateway("first", peer_address=address)
        async with asyncio.timeout(8.0):
            await again.until_ready()
        assert (await again.call("/job/"))[2] == b"job"

    in_world(tmp_path, check)
