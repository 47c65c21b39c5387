"""The simulation of a deployment, for one day and one seed."""

from collections.abc import Mapping
from dataclasses import replace
from random import Random

from amaranthtally.policy import (
    Arrival,
    Endpoint,
    PieceCoordinator,
    Planner,
    PolicySettings,
    Refuse,
    gateway_settings,
)
from amaranthtally.simulator.callers import Callers, Workload
from amaranthtally.simulator.clock import VirtualClock
from amaranthtally.simulator.deployment import Deployment
from amaranthtally.simulator.engines import PrefillTracker
from amaranthtally.simulator.entries import Entry
from amaranthtally.simulator.entry_manager import EntryManager, ManagedEntry
from amaranthtally.simulator.fleet import build_servers
from amaranthtally.simulator.invariants import InvariantChecker
from amaranthtally.simulator.mechanisms import POLICY, Variant
from amaranthtally.simulator.network import Network
from amaranthtally.simulator.policy_conversion import (
    kind_routing,
    policy_arrival,
    policy_pools,
)
from amaranthtally.simulator.requests import Request
from amaranthtally.simulator.servers import Server
from amaranthtally.simulator.stage_servers import ResultStore, StageServer

__all__ = ["Simulation"]


class Simulation:
    """The processes of a deployment, and the environment of each entry."""

    def __init__(
        self, deployment: Deployment, seed: int = 1, variant: Variant = POLICY
    ) -> None:
        self.clock = VirtualClock()
        self.deployment = deployment
        self.network = Network(deployment)
        self.results = ResultStore()
        self.prefill_tracker = PrefillTracker()
        self.workload = Workload(deployment, seed)
        self.invariants = InvariantChecker(self)
        self._variant = variant
        self._seed = seed
        self._requests: dict[str, Request] = {}
        self._entry_by_request: dict[str, Entry] = {}
        self._leaving_servers: set[str] = set()
        self._removed_servers: set[str] = set()
        self._start_count = 0
        self._revision = 0
        self.callers = Callers(
            self.clock, deployment, self.workload, self._deliver, self._cancel
        )
        self.servers = build_servers(
            self.clock, deployment, self.results, self.prefill_tracker, self.workload
        )
        self._pools = policy_pools(deployment)
        self._routings = {kind.name: kind_routing(kind) for kind in deployment.kinds}
        self.entries = EntryManager(
            self.clock,
            _entry_data_centres(deployment),
            self._start_entry,
            self._settings,
        )

    def run(self) -> "Simulation":
        """Simulate until all requests have ended, then check the invariants."""
        self.callers.start()
        end = self.deployment.seconds + self.deployment.longest_deadline_s
        self.clock.run(end)
        self.invariants.check_end()
        return self

    # Environment of entries

    def server(self, endpoint: str) -> Server | None:
        """Return a registered endpoint, ``None`` if there is none of this id."""
        return None if endpoint in self._removed_servers else self.servers.get(endpoint)

    def peer(self, name: str) -> Entry | None:
        """Return a running entry, ``None`` if the entry is down."""
        return self.entries.running(name)

    def request(self, try_id: str) -> Request | None:
        """Return the open request whose latest try has this id."""
        return self.callers.pending_request(try_id)

    def request_of_piece(self, try_id: str) -> Request:
        """Return the request of a piece, even if the request has ended."""
        return self._requests[try_id]

    def make_arrival(self, request: Request) -> Arrival:
        """Convert a request into the policy's arrival."""
        routing = self._routings[request.kind.name]
        arrival = policy_arrival(request, routing, self.clock.now)
        return self._variant.adapt_arrival(arrival)

    def event_received(self, request: Request) -> None:
        """Notify the caller of an event of a stream."""
        self.callers.event_received(request)

    def response_received(self, request: Request) -> None:
        """Notify the caller of a complete response."""
        self.invariants.note_end(request, self._entry_by_request[request.id])
        self.callers.response_received(request)

    def refusal_received(self, request: Request, refusal: Refuse) -> None:
        """Notify the caller of a refusal."""
        self.invariants.note_end(request, self._entry_by_request[request.id])
        self.invariants.note_refusal(request, refusal)
        self.callers.refusal_received(request, refusal)

    def connection_lost(self, request: Request) -> None:
        """Notify the caller that its connection broke."""
        self.callers.connection_lost(request)

    # Callers

    def _deliver(self, request: Request, random: Random) -> bool:
        ready = self.entries.accepting()
        if not ready:
            return False
        entry = random.choice(ready).entry
        self._requests[request.try_id] = request
        self._entry_by_request[request.id] = entry
        self.clock.after(self.deployment.near_s, lambda: entry.receive(request))
        return True

    def _cancel(self, request: Request) -> None:
        entry = self._entry_by_request.get(request.id)
        if entry is not None:
            entry.caller_left(request)

    # Entries

    def _start_entry(self, name: str, data_centre: str) -> ManagedEntry:
        self._start_count += 1
        built: list[PieceCoordinator] = []
        components = self._variant.components

        def build_coordinator() -> PieceCoordinator:
            built.append(components.coordinator())
            return built[-1]

        random = Random(f"{self._seed}/{name}/{self._start_count}")
        settings = self._settings(name, data_centre)
        planner = Planner(
            settings, random, replace(components, coordinator=build_coordinator)
        )
        return ManagedEntry(Entry(name, data_centre, planner, self), built[0])

    # Endpoints

    def mark_server_leaving(self, endpoint: str) -> None:
        """Mark an endpoint as leaving, so that it takes no more calls."""
        self._leaving_servers.add(endpoint)
        self._settings_changed()

    def remove_server(self, endpoint: str) -> None:
        """Terminate a leaving endpoint and remove its registration."""
        self._removed_servers.add(endpoint)
        self.servers[endpoint].crash()
        self._settings_changed()

    def _settings_changed(self) -> None:
        self._revision += 1
        self.entries.settings_changed()

    def _settings(self, name: str, data_centre: str) -> PolicySettings:
        entries = sum(centre.entries for centre in self.deployment.data_centres)
        settings = PolicySettings(
            revision=self._revision,
            region=self.network.data_centre(data_centre).region,
            data_centre=data_centre,
            endpoints=self._endpoints(),
            retry_budget=self.deployment.retry_budget,
            retry_reserve=max(1.0, self.deployment.retry_reserve / entries),
            entry=name,
            pools=self._pools,
        )
        return self._variant.adapt_settings(gateway_settings(settings))

    def _endpoints(self) -> Mapping[str, Endpoint]:
        return {
            name: replace(
                server.endpoint, takes_calls=name not in self._leaving_servers
            )
            for name, server in self.servers.items()
            if name not in self._removed_servers
        }

    # Statistics

    def stage_servers(self) -> list[StageServer]:
        """Return the endpoints that compute pieces."""
        return [s for s in self.servers.values() if isinstance(s, StageServer)]


def _entry_data_centres(deployment: Deployment) -> dict[str, str]:
    """Return the data centre of each entry by the entry's name."""
    return {
        f"{data_centre.name}/{number}": data_centre.name
        for data_centre in deployment.data_centres
        for number in range(data_centre.entries)
    }
