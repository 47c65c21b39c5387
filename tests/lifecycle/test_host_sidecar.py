"""One sidecar process for all endpoints of its host."""

import asyncio
import re
import signal
from contextlib import asynccontextmanager

import pytest

from amaranthtally.settings import SettingsFileError, load_host_settings
from amaranthtally.standins.deployment import HANDOVER_KEY, open_deployment
from tests.at_most_once.support import (
    PIPELINE,
    effects,
    effects_deployment,
    new_token,
)
from tests.at_most_once.test_handover import place_orders, repeat_all
from tests.lifecycle.model_support import DEADLINE_MS, by_model, model_plan
from tests.lifecycle.support import log_lines
from tests.settings.helpers import admin, propose, set_value
from tests.support import run_async

NAME = re.compile(r" name=(\S+) .*port=(\d+) http=(\d+)")
HOST = "host-shared"
# A call to an engine that stands still is given up after half of this, and a busy
# host has to run the rest of it elsewhere in the other half.
PATIENT_MS = 16_000


@asynccontextmanager
async def host_of(deployment, *pairs):
    """
    Stand one sidecar process before the services of some endpoints.

    Their own sidecars are stopped; the registrations name the new one.
    """
    kinds = {pool.name: pool.kind for pool in deployment.plan.pools}
    shared = {
        "host": HOST,
        "region": pairs[0].region,
        "data_centre": pairs[0].data_centre,
        "http_address": deployment.reserve_address(),
        "platform_url": deployment.platform_url,
        "drain_wait": 0.5,
        "handover_keys": [HANDOVER_KEY],
        "endpoints": [
            {
                "endpoint": pair.id,
                "wire_address": deployment.reserve_address(),
                "endpoint_url": pair.service_url,
                "endpoint_kind": kinds[pair.pool],
                "concurrency": 4,
            }
            for pair in pairs
        ],
    }
    file = deployment.write_settings("shared", shared)
    process = await deployment.start_daemon("sidecar", "shared", file)
    while len(found := log_lines(process, "listening")) < len(pairs):
        await asyncio.sleep(0.02)
    ports = {m[1]: int(m[2]) for line in found if (m := NAME.search(line))}
    ops = [
        set_value(
            f"endpoint.{pair.id}",
            {
                **pair.registration(),
                "host": HOST,
                # The entry's own: it binds to endpoints of its region first.
                "region": deployment.plan.regions[0].name,
                "address": f"127.0.0.1:{ports[pair.id]}",
            },
        )
        for pair in pairs
    ]
    status, change = await propose(deployment, ops)
    assert status == 200, change
    await deployment.wait_revision(change["number"])
    for pair in pairs:
        assert await pair.sidecar.stop() == 0
    for number in range(len(deployment.entries)):
        await wait_taking(deployment, number, {pair.id for pair in pairs})
    yield process


async def wait_taking(deployment, number, endpoints):
    """Return once an entry has heard endpoints say that they take work."""
    while True:
        rows = (await admin(deployment, "endpoints", number))["endpoints"]
        taking = {row["id"] for row in rows if row["heard"] and not row["leaving"]}
        if endpoints <= taking:
            return
        await call_any(deployment, number)


async def call_any(deployment, number):
    """Send a request that does nothing lasting, so that the entry looks around."""
    name = next(iter(deployment.plan.settings)).removeprefix("pipeline:")
    if name == PIPELINE:
        await new_token(deployment, number)
    else:
        await deployment.call(name, "claim", entry=number, deadline_ms=DEADLINE_MS)


def test_the_endpoints_of_a_host_keep_their_records_apart_and_hand_all_on():
    """
    A dispatch order is doubled, or its repeat hears "unknown", after a host with two
    services was stopped: its one sidecar mixed their records up, or handed on those
    of one service only.
    """

    async def scenario():
        async with effects_deployment(entries=1, servers=3) as deployment:
            first, second, other = deployment.pool("dispatch")
            async with host_of(deployment, first, second) as host:
                outputs = await place_orders(deployment)
                assert len(await effects(deployment)) == len(outputs)
                assert await repeat_all(deployment, outputs) == []
                shared = [await deployment.records(p.service) for p in (first, second)]
                assert all(shared)
                assert await host.stop() == 0
                assert other.sidecar.exit_code is None
                assert await repeat_all(deployment, outputs) == []
                assert len(await effects(deployment)) == len(outputs)
                left = {
                    line.rpartition("=")[2]
                    for line in log_lines(host, "sidecar_stopped")
                }
                assert left == {first.id, second.id}

    run_async(scenario())


def test_a_stuck_endpoint_holds_up_no_other_of_its_host():
    """
    All services of a host stand still because one of them does: they share a process,
    and the calls that hang take the places of the others.
    """

    async def scenario():
        async with open_deployment(model_plan(2)) as deployment:
            stuck, sound = deployment.pool("assessment")
            async with host_of(deployment, stuck, sound) as host:
                stuck.service.send(signal.SIGSTOP)
                calls = [
                    deployment.call("assessment", f"claim {n}", deadline_ms=PATIENT_MS)
                    for n in range(12)
                ]
                answers = await asyncio.gather(*calls)
                assert [a.status for a in answers] == [200] * len(answers)
                url = f"http://127.0.0.1:{host.ports['http']}/metrics"
                async with deployment.http.get(url) as response:
                    text = await response.text()
                for pair in (stuck, sound):
                    assert f'amaranthtally_calls_limit{{endpoint="{pair.id}"}}' in text
                stuck.service.send(signal.SIGCONT)
                assert sum((await by_model(deployment)).values()) >= len(answers)

    run_async(scenario())


SHARED = """
host = "host-1"
region = "cluj"
data_centre = "cluj-1"
http_address = "127.0.0.1:0"
concurrency = 8
"""
ONE = """
[[endpoints]]
endpoint = "encoder-1"
wire_address = "127.0.0.1:7001"
endpoint_url = "http://127.0.0.1:9"
endpoint_kind = "encoder"
"""
TWO = ONE.replace("encoder-1", "encoder-2").replace("7001", "7002").replace(":9", ":8")


def test_a_host_file_shares_what_its_endpoints_do_not_set(tmp_path):
    path = tmp_path / "host.toml"
    path.write_text(SHARED + ONE + TWO + "concurrency = 2\n")
    first, second = load_host_settings(path)
    assert (first.endpoint, first.concurrency) == ("encoder-1", 8)
    assert (second.endpoint, second.concurrency) == ("encoder-2", 2)


@pytest.mark.parametrize(
    ("text", "remedy"),
    [
        (SHARED + ONE + ONE, "the same for two endpoints"),
        (SHARED + 'endpoint = "x"\n' + ONE, "move it below"),
        (SHARED + ONE + 'host = "host-2"\n', "move it above"),
        (SHARED + ONE + "concurency = 2\n", "did you mean 'concurrency'?"),
        (SHARED + "endpoints = []\n", "one [[endpoints]] for each"),
    ],
)
def test_a_wrong_host_file_is_refused_with_its_remedy(tmp_path, text, remedy):
    path = tmp_path / "host.toml"
    path.write_text(text)
    with pytest.raises(SettingsFileError) as caught:
        load_host_settings(path)
    assert remedy in str(caught.value)
