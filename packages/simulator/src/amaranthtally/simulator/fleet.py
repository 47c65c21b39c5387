"""Builds the endpoints of a deployment."""

from collections.abc import Iterator

from amaranthtally.policy import Endpoint
from amaranthtally.simulator.callers import Workload
from amaranthtally.simulator.clock import VirtualClock
from amaranthtally.simulator.deployment import Deployment
from amaranthtally.simulator.engines import EngineServer, PrefillTracker
from amaranthtally.simulator.servers import Server
from amaranthtally.simulator.services import PlainServer
from amaranthtally.simulator.stage_servers import ResultStore, StageServer

__all__ = ["build_servers"]


def build_servers(
    clock: VirtualClock,
    deployment: Deployment,
    results: ResultStore,
    prefill_tracker: PrefillTracker,
    workload: Workload,
) -> dict[str, Server]:
    """Return all endpoints of a deployment by id."""
    built: list[Server] = []
    for pieces in deployment.piece_pools:
        for endpoint in _endpoints(deployment, pieces.name, pieces.endpoints):
            built.append(StageServer(clock, endpoint, pieces, results))
    for engines in deployment.engine_pools:
        endpoints = _endpoints(
            deployment, engines.name, engines.endpoints, engines.slots
        )
        for endpoint in endpoints:
            built.append(
                EngineServer(clock, endpoint, engines, results, prefill_tracker)
            )
    for plain in deployment.service_pools:
        for endpoint in _endpoints(
            deployment, plain.name, plain.endpoints, plain.slots
        ):
            random = workload.random_for("service", endpoint.id)
            built.append(PlainServer(clock, endpoint, plain, random))
    return {server.endpoint.id: server for server in built}


def _endpoints(
    deployment: Deployment, pool: str, count: int, slots: int = 0
) -> Iterator[Endpoint]:
    for data_centre in deployment.data_centres:
        for number in range(count):
            yield Endpoint(
                id=f"{pool}/{data_centre.name}/{number}",
                pool=pool,
                host=f"host-{pool}-{data_centre.name}-{number}",
                region=data_centre.region,
                data_centre=data_centre.name,
                address="",
                slots=slots,
            )
