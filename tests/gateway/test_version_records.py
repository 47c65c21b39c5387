"""The versions of pools on record in the store."""

import asyncio
import json

from tests.gateway.support import STREAM, respond_with, route, run_with_cluster

KEY = "versions/job"


async def wait_for_record(cluster, expected):
    while recorded(cluster) != expected:
        await asyncio.sleep(0.05)


def recorded(cluster):
    item = cluster.store.items.get(KEY)
    return None if item is None else json.loads(item.value)


async def start(cluster, *versions):
    for number, version in enumerate(versions):
        await cluster.endpoint(f"e{number}", "job", respond_with(b""), version=version)
    cluster.configure(1, route("job", resumable=True, **STREAM))


def test_one_record_holds_all_versions_of_a_pool(tmp_path):
    """Guards against a restart of all gateways after which no version is known."""

    async def check(cluster):
        await start(cluster, "v1")
        for name in ("g1", "g2", "g3"):
            await cluster.gateway(name)
        await wait_for_record(cluster, ["v1"])
        await cluster.endpoint("new", "job", respond_with(b""), version="v2")
        await wait_for_record(cluster, ["v1", "v2"])

    run_with_cluster(tmp_path, check)


def test_a_malformed_record_is_replaced_and_proves_nothing(tmp_path):
    """Guards against a record of another writer that is taken for ours."""

    async def check(cluster):
        await start(cluster, "v1")
        cluster.store.put(KEY, {"not": "a list"})
        gateway = await cluster.gateway()
        await gateway.wait_for_event("record_malformed", key=KEY)
        await wait_for_record(cluster, ["v1"])

    run_with_cluster(tmp_path, check)
