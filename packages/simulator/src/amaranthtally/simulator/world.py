"""A whole deployment on a virtual clock, for one day and one seed."""

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
from amaranthtally.simulator.callers import Callers, Drawn
from amaranthtally.simulator.clock import VirtualClock
from amaranthtally.simulator.deployment import Deployment
from amaranthtally.simulator.engines import ReadParts
from amaranthtally.simulator.entries import Entry
from amaranthtally.simulator.fleet import build_servers
from amaranthtally.simulator.mechanisms import POLICY, Variant
from amaranthtally.simulator.memberships import Member, Membership
from amaranthtally.simulator.network import Network
from amaranthtally.simulator.policy_terms import (
    policy_arrival,
    policy_pools,
    policy_terms,
)
from amaranthtally.simulator.promises import Promises
from amaranthtally.simulator.requests import Request
from amaranthtally.simulator.servers import Server
from amaranthtally.simulator.stage_servers import Results, StageServer

__all__ = ["World"]


class World:
    """The processes of a deployment; it is what each entry meets."""

    def __init__(
        self, deployment: Deployment, seed: int = 1, variant: Variant = POLICY
    ) -> None:
        self.clock = VirtualClock()
        self.deployment = deployment
        self.network = Network(deployment)
        self.results = Results()
        self.read_parts = ReadParts()
        self.drawn = Drawn(deployment, seed)
        self.promises = Promises(self)
        self._variant = variant
        self._seed = seed
        self._requests: dict[str, Request] = {}
        self._at_entry: dict[str, Entry] = {}
        self._leaving_servers: set[str] = set()
        self._gone_servers: set[str] = set()
        self._starts = 0
        self._revision = 0
        self.callers = Callers(
            self.clock, deployment, self.drawn, self._deliver, self._withdraw
        )
        self.servers = build_servers(
            self.clock, deployment, self.results, self.read_parts, self.drawn
        )
        self._pools = policy_pools(deployment)
        self._terms = {kind.name: policy_terms(kind) for kind in deployment.kinds}
        self.entries = Membership(
            self.clock, _entry_places(deployment), self._start_entry, self._settings
        )

    def run(self) -> "World":
        """Let requests come, and all of them end."""
        self.callers.start()
        end = self.deployment.seconds + self.deployment.longest_s
        self.clock.run(end)
        self.promises.check_end()
        return self

    # What entries meet

    def server(self, endpoint: str) -> Server | None:
        """Return an endpoint that is registered."""
        return None if endpoint in self._gone_servers else self.servers.get(endpoint)

    def peer(self, name: str) -> Entry | None:
        """Return an entry that runs."""
        return self.entries.running(name)

    def request(self, try_id: str) -> Request | None:
        """Return a request whose caller waits for this try."""
        return self.callers.find(try_id)

    def request_of_piece(self, try_id: str) -> Request:
        """Return the request that a piece belongs to, in flight or ended."""
        return self._requests[try_id]

    def make_arrival(self, request: Request) -> Arrival:
        """Return a request as an entry reads it."""
        terms = self._terms[request.kind.name]
        arrival = policy_arrival(request, terms, self.clock.now)
        return self._variant.adapt_arrival(arrival)

    def began(self, request: Request) -> None:
        """Pass a stream's first event to its caller."""
        self.callers.began(request)

    def answered(self, request: Request) -> None:
        """Pass a whole answer to its caller."""
        self.promises.note_end(request, self._at_entry[request.id])
        self.callers.answered(request)

    def refused(self, request: Request, refusal: Refuse) -> None:
        """Pass a refusal to its caller."""
        self.promises.note_end(request, self._at_entry[request.id])
        self.promises.note_refusal(request, refusal)
        self.callers.refused(request, refusal)

    def cut_off(self, request: Request) -> None:
        """Break a caller's connection."""
        self.callers.cut_off(request)

    # Callers' side

    def _deliver(self, request: Request, random: Random) -> bool:
        ready = self.entries.taking()
        if not ready:
            return False
        entry = random.choice(ready).entry
        self._requests[request.try_id] = request
        self._at_entry[request.id] = entry
        self.clock.after(self.deployment.near_s, lambda: entry.receive(request))
        return True

    def _withdraw(self, request: Request) -> None:
        entry = self._at_entry.get(request.id)
        if entry is not None:
            entry.caller_left(request)

    # Entries

    def _start_entry(self, name: str, place: str) -> Member:
        self._starts += 1
        built: list[PieceCoordinator] = []
        components = self._variant.components

        def build_coordinator() -> PieceCoordinator:
            built.append(components.coordinator())
            return built[-1]

        random = Random(f"{self._seed}/{name}/{self._starts}")
        settings = self._settings(name, place)
        planner = Planner(
            settings, random, replace(components, coordinator=build_coordinator)
        )
        return Member(Entry(name, place, planner, self), built[0])

    # Endpoints

    def leave_server(self, endpoint: str) -> None:
        """Let an endpoint say that it leaves."""
        self._leaving_servers.add(endpoint)
        self._settings_changed()

    def remove_server(self, endpoint: str) -> None:
        """End an endpoint that said that it leaves."""
        self._gone_servers.add(endpoint)
        self.servers[endpoint].crash()
        self._settings_changed()

    def _settings_changed(self) -> None:
        self._revision += 1
        self.entries.settings_changed()

    def _settings(self, name: str, place: str) -> PolicySettings:
        entries = sum(one.entries for one in self.deployment.data_centres)
        settings = PolicySettings(
            revision=self._revision,
            region=self.network.place(place).region,
            data_centre=place,
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
            if name not in self._gone_servers
        }

    # Sums

    def stage_servers(self) -> list[StageServer]:
        """Return the endpoints that make pieces."""
        return [s for s in self.servers.values() if isinstance(s, StageServer)]


def _entry_places(deployment: Deployment) -> dict[str, str]:
    """Return the data centre of each entry by its name."""
    return {
        f"{place.name}/{number}": place.name
        for place in deployment.data_centres
        for number in range(place.entries)
    }
