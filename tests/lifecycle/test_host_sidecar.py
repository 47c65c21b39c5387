"""One sidecar process that serves all endpoints of its host."""

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
from tests.lifecycle.model_support import DEADLINE_MS, calls_by_model, model_plan
from tests.lifecycle.support import log_lines
from tests.settings.helpers import get_admin, propose, set_value
from tests.support import run_async

LISTENING_LINE = re.compile(r" name=(\S+) .*port=(\d+) http=(\d+)")
HOST = "host-shared"
# The entry gives a hung call up after half of this; the other half is left for running
# it at another endpoint, also on a busy host.
LONG_DEADLINE_MS = 16_000


@asynccontextmanager
async def shared_sidecar(deployment, *pairs):
    """
    Replace the sidecars of some endpoints by one shared sidecar process.

    The former sidecars are stopped, and the endpoints are registered with the addresses
    of the shared one.
    """
    kinds = {pool.name: pool.kind for pool in deployment.plan.pools}
    settings = {
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
    file = deployment.write_settings("shared", settings)
    process = await deployment.start_daemon("sidecar", "shared", file)
    while len(lines := log_lines(process, "listening")) < len(pairs):
        await asyncio.sleep(0.02)
    ports = {m[1]: int(m[2]) for line in lines if (m := LISTENING_LINE.search(line))}
    ops = [
        set_value(
            f"endpoint.{pair.id}",
            {
                **pair.registration(),
                "host": HOST,
                # The entry's region, because it prefers local endpoints for bindings.
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
        await wait_until_available(deployment, number, {pair.id for pair in pairs})
    yield process


async def wait_until_available(deployment, number, endpoints):
    """Return once endpoints have reported to an entry that they take calls."""
    while True:
        rows = (await get_admin(deployment, "endpoints", number))["endpoints"]
        available = {row["id"] for row in rows if row["heard"] and not row["leaving"]}
        if endpoints <= available:
            return
        await send_request(deployment, number)


async def send_request(deployment, number):
    """Send a request without an effect, so that the entry contacts its endpoints."""
    name = next(iter(deployment.plan.settings)).removeprefix("pipeline:")
    if name == PIPELINE:
        await new_token(deployment, number)
    else:
        await deployment.call(name, "claim", entry=number, deadline_ms=DEADLINE_MS)


def test_endpoints_of_a_host_keep_separate_records_and_hand_over_all():
    """
    A dispatch order would run twice, or its repeat would get the outcome ``unknown``,
    if the shared sidecar of two services mixed up their records, or handed over those
    of only one service when it is stopped.
    """

    async def scenario():
        async with effects_deployment(entries=1, servers=3) as deployment:
            first, second, third = deployment.pool("dispatch")
            async with shared_sidecar(deployment, first, second) as sidecar:
                outputs = await place_orders(deployment)
                assert len(await effects(deployment)) == len(outputs)
                assert await repeat_all(deployment, outputs) == []
                service_records = [
                    await deployment.records(p.service) for p in (first, second)
                ]
                assert all(service_records)
                assert await sidecar.stop() == 0
                assert third.sidecar.exit_code is None
                assert await repeat_all(deployment, outputs) == []
                assert len(await effects(deployment)) == len(outputs)
                stopped = {
                    line.rpartition("=")[2]
                    for line in log_lines(sidecar, "sidecar_stopped")
                }
                assert stopped == {first.id, second.id}

    run_async(scenario())


def test_a_hung_endpoint_delays_no_other_of_its_host():
    """
    A hung service would block all services of its host: they share a sidecar process,
    and the hung calls would occupy the slots of the others.
    """

    async def scenario():
        async with open_deployment(model_plan(2)) as deployment:
            hung, healthy = deployment.pool("assessment")
            async with shared_sidecar(deployment, hung, healthy) as sidecar:
                hung.service.send(signal.SIGSTOP)
                calls = [
                    deployment.call(
                        "assessment", f"claim {n}", deadline_ms=LONG_DEADLINE_MS
                    )
                    for n in range(12)
                ]
                responses = await asyncio.gather(*calls)
                assert [a.status for a in responses] == [200] * len(responses)
                url = f"http://127.0.0.1:{sidecar.ports['http']}/metrics"
                async with deployment.http.get(url) as response:
                    text = await response.text()
                for pair in (hung, healthy):
                    assert f'amaranthtally_calls_limit{{endpoint="{pair.id}"}}' in text
                hung.service.send(signal.SIGCONT)
                assert sum((await calls_by_model(deployment)).values()) >= len(
                    responses
                )

    run_async(scenario())


HOST_SETTINGS = """
host = "host-1"
region = "cluj"
data_centre = "cluj-1"
http_address = "127.0.0.1:0"
concurrency = 8
"""
FIRST_ENDPOINT = """
[[endpoints]]
endpoint = "encoder-1"
wire_address = "127.0.0.1:7001"
endpoint_url = "http://127.0.0.1:9"
endpoint_kind = "encoder"
"""
SECOND_ENDPOINT = (
    FIRST_ENDPOINT.replace("encoder-1", "encoder-2")
    .replace("7001", "7002")
    .replace(":9", ":8")
)


def test_a_host_file_sets_defaults_for_its_endpoints(tmp_path):
    path = tmp_path / "host.toml"
    path.write_text(
        HOST_SETTINGS + FIRST_ENDPOINT + SECOND_ENDPOINT + "concurrency = 2\n"
    )
    first, second = load_host_settings(path)
    assert (first.endpoint, first.concurrency) == ("encoder-1", 8)
    assert (second.endpoint, second.concurrency) == ("encoder-2", 2)


@pytest.mark.parametrize(
    ("text", "remedy"),
    [
        (HOST_SETTINGS + FIRST_ENDPOINT + FIRST_ENDPOINT, "the same for two endpoints"),
        (HOST_SETTINGS + 'endpoint = "x"\n' + FIRST_ENDPOINT, "move it below"),
        (HOST_SETTINGS + FIRST_ENDPOINT + 'host = "host-2"\n', "move it above"),
        (
            HOST_SETTINGS + FIRST_ENDPOINT + "concurency = 2\n",
            "did you mean 'concurrency'?",
        ),
        (HOST_SETTINGS + "endpoints = []\n", "one [[endpoints]] for each"),
    ],
)
def test_an_invalid_host_file_is_rejected_with_a_remedy(tmp_path, text, remedy):
    path = tmp_path / "host.toml"
    path.write_text(text)
    with pytest.raises(SettingsFileError) as caught:
        load_host_settings(path)
    assert remedy in str(caught.value)
