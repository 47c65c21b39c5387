"""Records of another writer that this system cannot use, beside sound ones."""

import asyncio
import json

import pytest

from tests.gateway.support import respond_with, route, run_with_cluster

# Three of them watch the store, one follows.
GATEWAYS = ("g1", "g2", "g3", "g4")
# The users' bounds for a new configuration and for an endpoint that leaves, in seconds.
CONFIGURATION_S = 2.5
DRAIN_S = 2.5
CALLS = 6
NESTED = b"[" * 4000 + b"]" * 4000
RECORD = {
    "service": "job",
    "address": "127.0.0.1:9",
    "zone": "cluj-a",
    "slots": 2,
    "state": "ready",
}


def with_field(name, text):
    """Return the record of an endpoint with one more field, or another value of one."""
    fields = [f'"{k}":{json.dumps(v)}' for k, v in RECORD.items() if k != name]
    return ("{" + ",".join([*fields, f'"{name}":{text}']) + "}").encode()


NESTED_RECORDS = {
    "endpoint": ("servers/odd", with_field("note", NESTED.decode())),
    "peer": ("entries/odd", b'{"address":"a:1","x":' + NESTED + b"}"),
    "origins": ("origins/odd", b'[{"x":' + NESTED + b"}]"),
}
# No float holds it.
TOO_LARGE = "1" + "0" * 310
SLOTS_TOO_LARGE = ("servers/odd", with_field("slots", TOO_LARGE))
OUT_OF_RANGE = {
    "versions": ("versions/job", NESTED),
    "start": ("servers/odd", with_field("born", TOO_LARGE)),
    "port": ("servers/odd", with_field("address", '"127.0.0.1:99999"')),
    "port_no_number": ("servers/odd", with_field("address", '"127.0.0.1:\\u00b2"')),
}


async def statuses_of(gateways, path):
    return {(await gateway.call(path))[0] for gateway in gateways}


async def check_changes_take_effect(cluster, gateways, leaving):
    """Add a route, let an endpoint leave, and check that all gateways follow."""
    cluster.store.put("servers/leaves", leaving.record("job", state="draining"))
    cluster.configure(2, route("job"), route("new", service="job"))
    await asyncio.sleep(max(CONFIGURATION_S, DRAIN_S))
    before = len(leaving.requests)
    for _ in range(CALLS):
        assert await statuses_of(gateways, "/new/") == {200}
        assert await statuses_of(gateways, "/job/") == {200}
    assert len(leaving.requests) == before


async def check_beside(cluster, record, is_first):
    """Write an odd record before the start of the gateways or after it."""
    await cluster.endpoint("stays", "job", respond_with(b"stays"))
    leaving = await cluster.endpoint("leaves", "job", respond_with(b"leaves"))
    cluster.configure(1, route("job"))
    if is_first:
        cluster.store.put(*record)
    # The time-out of the test limits the wait for gateways that are never ready.
    gateways = await asyncio.gather(*(cluster.gateway(name) for name in GATEWAYS))
    if not is_first:
        cluster.store.put(*record)
        await asyncio.sleep(1.0)
    await check_changes_take_effect(cluster, gateways, leaving)


WHEN = pytest.mark.parametrize("is_first", [True, False], ids=["before", "while"])


@WHEN
@pytest.mark.parametrize("record", NESTED_RECORDS)
def test_a_nested_record_stops_no_change(tmp_path, record, is_first):
    """Guards against gateways that stop following the store at a nested record."""
    odd = NESTED_RECORDS[record]
    run_with_cluster(tmp_path, lambda cluster: check_beside(cluster, odd, is_first))


@WHEN
def test_a_slot_count_that_no_float_holds_fails_no_request(tmp_path, is_first):
    """Guards against requests that fail as the load of one endpoint overflows."""
    run_with_cluster(
        tmp_path, lambda cluster: check_beside(cluster, SLOTS_TOO_LARGE, is_first)
    )


@WHEN
@pytest.mark.parametrize("record", OUT_OF_RANGE)
def test_a_value_out_of_range_stops_no_change(tmp_path, record, is_first):
    """Guards against one record that cannot be used and stops all others."""
    odd = OUT_OF_RANGE[record]
    run_with_cluster(tmp_path, lambda cluster: check_beside(cluster, odd, is_first))


def test_malformed_records_are_counted_once_a_revision(tmp_path):
    """Guards against odd records that operators do not hear of."""

    async def check(cluster):
        await cluster.endpoint("stays", "job", respond_with(b"stays"))
        cluster.configure(1, route("job"))
        cluster.store.put(*SLOTS_TOO_LARGE)
        port = cluster.reserve_address().rpartition(":")[2]
        gateway = await cluster.gateway(metrics_address=f"127.0.0.1:{port}")
        cluster.store.put(*NESTED_RECORDS["endpoint"])
        await gateway.wait_for_event(
            "record_malformed", revision=cluster.store.revision
        )
        async with gateway.session.get(f"http://127.0.0.1:{port}/metrics") as response:
            text = await response.text()
        assert 'amaranthtally_records_malformed_total{prefix="servers/"} 2' in text

    run_with_cluster(tmp_path, check)
