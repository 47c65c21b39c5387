"""A whole deployment on a virtual clock, for one day and one seed."""

from collections.abc import Callable, Mapping
from dataclasses import replace
from random import Random

from amaranthtally.policy import (
    Arrival,
    Endpoint,
    Gatherer,
    Peer,
    Planner,
    PolicySettings,
    Refuse,
)
from amaranthtally.simulator.callers import Callers, Drawn
from amaranthtally.simulator.clock import VirtualClock
from amaranthtally.simulator.deployment import Deployment
from amaranthtally.simulator.engines import EngineServer, ReadParts
from amaranthtally.simulator.entries import Entry
from amaranthtally.simulator.fleet import build_servers
from amaranthtally.simulator.mechanisms import POLICY, Variant
from amaranthtally.simulator.network import Network
from amaranthtally.simulator.policy_terms import (
    policy_arrival,
    policy_pipeline,
    policy_pools,
)
from amaranthtally.simulator.promises import Promises
from amaranthtally.simulator.requests import Request
from amaranthtally.simulator.servers import Server
from amaranthtally.simulator.stage_servers import Results, StageServer

__all__ = ["World"]

# How long an entry's record outlives its process, and how soon a change of records is
# heard, in seconds.
RECORD_S = 6.0
HEAR_S = 0.02
# How long a stopping entry goes on for the requests that it has, in seconds.
LEAVING_S = 6.0
HEDGE_BUDGET = 0.04
POLL_S = 0.05


class World:
    """The processes of a deployment; it is what each entry meets."""

    def __init__(
        self, deployment: Deployment, seed: int = 1, variant: Variant = POLICY
    ) -> None:
        self.clock = VirtualClock()
        self.deployment = deployment
        self.network = Network(deployment)
        self.results = Results()
        self.parts = ReadParts()
        self.drawn = Drawn(deployment, seed)
        self.entries: dict[str, Entry] = {}
        self.gatherers: dict[str, Gatherer] = {}
        self.promises = Promises(self)
        self._variant = variant
        self._seed = seed
        self._requests: dict[str, Request] = {}
        self._at_entry: dict[str, Entry] = {}
        self._leaving_servers: set[str] = set()
        self._gone_servers: set[str] = set()
        self._records: dict[str, Peer] = {}
        self._starts = 0
        self._revision = 0
        self._places = {
            f"{place.name}/{number}": place.name
            for place in deployment.data_centres
            for number in range(place.entries)
        }
        self.callers = Callers(
            self.clock, deployment, self.drawn, self._deliver, self._withdraw
        )
        self.servers = build_servers(
            self.clock, deployment, self.results, self.parts, self.drawn
        )
        self._pools = policy_pools(deployment)
        self._pipelines = {
            kind.name: policy_pipeline(kind) for kind in deployment.kinds
        }
        for name in self._places:
            self._new_entry(name)
        self._tell_peers()

    @property
    def entry_names(self) -> list[str]:
        """Return the name of each entry, running or not."""
        return list(self._places)

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
        entry = self.entries.get(name)
        return entry if entry is not None and entry.up else None

    def request(self, try_id: str) -> Request | None:
        """Return a request whose caller waits for this try."""
        return self.callers.find(try_id)

    def request_of_piece(self, try_id: str) -> Request:
        """Return the request that a piece belongs to, in flight or ended."""
        return self._requests[try_id]

    def make_arrival(self, request: Request) -> Arrival:
        """Return a request as an entry reads it."""
        pipeline = self._pipelines[request.kind.name]
        arrival = policy_arrival(request, pipeline, self.clock.now)
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
        ready = [e for e in self.entries.values() if e.up and not e.leaving]
        if not ready:
            return False
        entry = random.choice(ready)
        self._requests[request.try_id] = request
        self._at_entry[request.id] = entry
        self.clock.after(self.deployment.near_s, lambda: entry.receive(request))
        return True

    def _withdraw(self, request: Request) -> None:
        entry = self._at_entry.get(request.id)
        if entry is not None:
            entry.caller_left(request)

    # Entries

    def start_entry(self, name: str) -> None:
        """Start an entry that is down; it knows nothing."""
        if not self.entries[name].up:
            self._new_entry(name)
            self._records_changed()

    def stop_entry(self, name: str, away_s: float) -> None:
        """Stop an entry as planned, and start it again a while after its end."""
        entry = self.entries[name]
        if not entry.up:
            return
        entry.leave()
        self._forget_entry(name)
        end = self.clock.now + LEAVING_S
        self._end_when_idle(entry, end, lambda: self._start_later(name, away_s))

    def kill_entry(self, name: str) -> None:
        """Kill an entry; its record outlives it."""
        entry = self.entries[name]
        if not entry.up:
            return
        entry.kill()

        def expire() -> None:
            if self.entries[name] is entry:
                self._forget_entry(name)

        self.clock.after(RECORD_S, expire)

    def _start_later(self, name: str, away_s: float) -> None:
        self.clock.after(away_s, lambda: self.start_entry(name))

    def _end_when_idle(
        self, entry: Entry, end: float, then: Callable[[], None]
    ) -> None:
        if entry.in_flight and self.clock.now < end:
            self.clock.after(POLL_S, lambda: self._end_when_idle(entry, end, then))
            return
        entry.kill()
        then()

    def _new_entry(self, name: str) -> None:
        place = self._places[name]
        self._starts += 1
        built: list[Gatherer] = []
        parts = self._variant.parts

        def build_gatherer() -> Gatherer:
            built.append(parts.gatherer())
            return built[-1]

        random = Random(f"{self._seed}/{name}/{self._starts}")
        planner = Planner(
            self._settings(name, place),
            random,
            replace(parts, gatherer=build_gatherer),
        )
        self.entries[name] = Entry(name, place, planner, self)
        self.gatherers[name] = built[0]
        self._records[name] = Peer(name, place)

    def _forget_entry(self, name: str) -> None:
        self._records.pop(name, None)
        self._records_changed()

    def _records_changed(self) -> None:
        self.clock.after(HEAR_S, self._tell_peers)

    def _tell_peers(self) -> None:
        peers = list(self._records.values())
        for entry in self.entries.values():
            if not entry.is_cut_from_store:
                entry.peers_changed(peers)

    def hear_store(self, name: str) -> None:
        """Let an entry hear of the records again."""
        self.entries[name].is_cut_from_store = False
        self._tell_peers()

    # Endpoints

    def leave_server(self, endpoint: str) -> None:
        """Let an endpoint say that it leaves."""
        self._leaving_servers.add(endpoint)
        self._tell_settings()

    def remove_server(self, endpoint: str) -> None:
        """End an endpoint that said that it leaves."""
        self._gone_servers.add(endpoint)
        self.servers[endpoint].crash()
        self._tell_settings()

    def _tell_settings(self) -> None:
        self._revision += 1

        def tell() -> None:
            for entry in self.entries.values():
                if not entry.is_cut_from_store:
                    entry.settings_changed(self._settings(entry.name, entry.place))

        self.clock.after(HEAR_S, tell)

    def _settings(self, name: str, place: str) -> PolicySettings:
        entries = len(self._places)
        settings = PolicySettings(
            revision=self._revision,
            region=self.network.place(place).region,
            data_centre=place,
            endpoints=self._endpoints(),
            retry_budget=self.deployment.retry_budget,
            retry_reserve=max(1.0, self.deployment.retry_reserve / entries),
            hedge_budget=HEDGE_BUDGET,
            hedge_reserve=1.0,
            not_run_cost=1.0,
            entry=name,
            admission_headroom=1.0,
            pools=self._pools,
        )
        return self._variant.adapt_settings(settings)

    def _endpoints(self) -> Mapping[str, Endpoint]:
        return {
            name: replace(
                server.endpoint, takes_calls=name not in self._leaving_servers
            )
            for name, server in self.servers.items()
            if name not in self._gone_servers
        }

    # Sums

    def of_pool(self, pool: str) -> list[Server]:
        """Return the endpoints of a pool."""
        return [s for s in self.servers.values() if s.endpoint.pool == pool]

    def stage_servers(self) -> list[StageServer]:
        """Return the endpoints that make pieces."""
        return [s for s in self.servers.values() if isinstance(s, StageServer)]

    def crossed_bytes(self) -> float:
        """Return the bytes of results that were read in another data centre."""
        return sum(
            server.crossed_bytes
            for server in self.servers.values()
            if isinstance(server, StageServer | EngineServer)
        )
