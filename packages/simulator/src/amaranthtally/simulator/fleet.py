"""Builds the endpoints of a deployment."""

from collections.abc import Iterator

from amaranthtally.policy import Endpoint
from amaranthtally.simulator.callers import Drawn
from amaranthtally.simulator.clock import VirtualClock
from amaranthtally.simulator.deployment import Deployment
from amaranthtally.simulator.engines import EngineServer, ReadParts
from amaranthtally.simulator.servers import Server
from amaranthtally.simulator.services import PlainServer
from amaranthtally.simulator.stage_servers import Results, StageServer

__all__ = ["build_servers"]


def build_servers(
    clock: VirtualClock,
    deployment: Deployment,
    results: Results,
    parts: ReadParts,
    drawn: Drawn,
) -> dict[str, Server]:
    """Return every endpoint of a deployment by its id."""
    built: list[Server] = []
    for pieces in deployment.piece_pools:
        for endpoint in _endpoints(deployment, pieces.name, pieces.endpoints):
            built.append(StageServer(clock, endpoint, pieces, results))
    for engines in deployment.engine_pools:
        places = _endpoints(deployment, engines.name, engines.endpoints, engines.slots)
        for endpoint in places:
            built.append(EngineServer(clock, endpoint, engines, results, parts))
    for plain in deployment.service_pools:
        for endpoint in _endpoints(
            deployment, plain.name, plain.endpoints, plain.slots
        ):
            random = drawn.of("service", endpoint.id)
            built.append(PlainServer(clock, endpoint, plain, random))
    return {server.endpoint.id: server for server in built}


def _endpoints(
    deployment: Deployment, pool: str, count: int, slots: int = 0
) -> Iterator[Endpoint]:
    for place in deployment.data_centres:
        for number in range(count):
            yield Endpoint(
                id=f"{pool}/{place.name}/{number}",
                pool=pool,
                host=f"host-{pool}-{place.name}-{number}",
                region=place.region,
                data_centre=place.name,
                address="",
                slots=slots,
            )
