"""Faults by name, in a registry that decorators fill."""

from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path

from amaranthtally.simulator.deployment import Deployment, Fault, check_known
from amaranthtally.simulator.memberships import RECORD_S
from amaranthtally.simulator.promises import AGREE_S
from amaranthtally.simulator.servers import Server
from amaranthtally.simulator.world import World

__all__ = ["check_faults", "fault_kinds", "plan_faults"]

# How long an entry takes to start, in seconds.
START_S = 1.0
# How often a flapping endpoint goes and comes, in seconds.
FLAP_S = 1.0
# Entries start at different moments after a loss of power, in seconds.
SPREAD_S = 0.5

Inject = Callable[[World, Fault], None]
_KINDS: dict[str, Inject] = {}


def fault_kinds() -> list[str]:
    """Return the name of each kind of fault."""
    return sorted(_KINDS)


def check_faults(path: Path | str, deployment: Deployment) -> None:
    """Raise ``DeploymentError`` where a fault is not known."""
    for number, fault in enumerate(deployment.faults):
        check_known(path, f"faults[{number}].kind", fault.kind, fault_kinds())


def plan_faults(world: World) -> World:
    """Let the faults of a world's deployment happen; check owners after the last."""
    check_faults(world.deployment.name, world.deployment)
    faults = world.deployment.faults
    for fault in faults:
        world.clock.at(fault.start_s, partial(_KINDS[fault.kind], world, fault))
    last = max((fault.start_s + fault.length_s for fault in faults), default=0.0)
    settled = last + RECORD_S + START_S + SPREAD_S + AGREE_S
    if settled < world.deployment.seconds + world.deployment.longest_s:
        world.clock.at(settled, world.promises.check_agreement)
    return world


def _fault(kind: str) -> Callable[[Inject], Inject]:
    def register(inject: Inject) -> Inject:
        _KINDS[kind] = inject
        return inject

    return register


def _targets(world: World, fault: Fault) -> Sequence[Server]:
    """Return the endpoints that a fault names: one, or those of a pool or place."""
    return [
        server
        for server in world.servers.values()
        if fault.target in (server.endpoint.id, server.endpoint.pool, server.place)
    ]


def _for_a_while(
    world: World,
    fault: Fault,
    begin: Callable[[Server], None],
    end: Callable[[Server], None],
) -> None:
    for server in _targets(world, fault):
        begin(server)
        world.clock.after(fault.length_s, partial(end, server))


# Endpoints


@_fault("crash")
def _crash(world: World, fault: Fault) -> None:
    """Endpoints lose their process and come back empty."""
    _for_a_while(world, fault, Server.crash, Server.start)


@_fault("hang")
def _hang(world: World, fault: Fault) -> None:
    """Endpoints take work and finish none."""
    _for_a_while(world, fault, Server.hang, Server.thaw)


@_fault("dark")
def _dark(world: World, fault: Fault) -> None:
    """No message comes through to endpoints or back."""

    def begin(server: Server) -> None:
        server.dark = True

    def end(server: Server) -> None:
        server.dark = False

    _for_a_while(world, fault, begin, end)


@_fault("slow")
def _slow(world: World, fault: Fault) -> None:
    """Endpoints take ``factor`` times as long."""

    def begin(server: Server) -> None:
        server.slowness = fault.factor

    def end(server: Server) -> None:
        server.slowness = 1.0

    _for_a_while(world, fault, begin, end)


@_fault("lost_answers")
def _lost_answers(world: World, fault: Fault) -> None:
    """Endpoints do their work, and connections break before the answer."""

    def begin(server: Server) -> None:
        server.loses_answers = True

    def end(server: Server) -> None:
        server.loses_answers = False

    _for_a_while(world, fault, begin, end)


@_fault("flap")
def _flap(world: World, fault: Fault) -> None:
    """Endpoints go and come again and again."""
    turns = max(1, int(fault.length_s / (2 * FLAP_S)))
    for turn in range(turns):
        for server in _targets(world, fault):
            at = world.clock.now + 2 * FLAP_S * turn
            world.clock.at(at, server.crash)
            world.clock.at(at + FLAP_S, server.start)


@_fault("scale_in")
def _scale_in(world: World, fault: Fault) -> None:
    """Endpoints say that they leave, and are gone after ``length_s``."""
    for server in _targets(world, fault):
        name = server.endpoint.id
        world.leave_server(name)
        world.clock.after(fault.length_s, partial(world.remove_server, name))


# Entries


@_fault("kill")
def _kill(world: World, fault: Fault) -> None:
    """An entry loses its process and is back after ``length_s``."""
    world.entries.kill(fault.target)
    world.clock.after(fault.length_s, lambda: world.entries.start(fault.target))


@_fault("kill_all")
def _kill_all(world: World, fault: Fault) -> None:
    """All entries lose their processes at once."""
    for name in world.entries.names:
        world.entries.kill(name)
        wait_s = fault.length_s + SPREAD_S * world.drawn.of("start", name).random()
        world.clock.after(wait_s, partial(world.entries.start, name))


@_fault("rolling_stop")
def _rolling_stop(world: World, fault: Fault) -> None:
    """Entries are stopped as planned and started anew, one after another."""
    names = world.entries.names
    gap_s = fault.length_s / len(names)
    for number, name in enumerate(names):
        at = world.clock.now + number * gap_s
        world.clock.at(at, partial(world.entries.stop, name, START_S))


@_fault("freeze")
def _freeze(world: World, fault: Fault) -> None:
    """An entry stands still."""
    entry = world.entries[fault.target]
    entry.freeze()
    world.clock.after(fault.length_s, entry.thaw)


@_fault("store_cut")
def _store_cut(world: World, fault: Fault) -> None:
    """An entry hears of no change of records."""
    world.entries.cut_from_store(fault.target)
    world.clock.after(fault.length_s, lambda: world.entries.hear_store(fault.target))


# Places and callers


@_fault("cut")
def _cut(world: World, fault: Fault) -> None:
    """A data centre, or the data centres of a region, are parted from the others."""
    places = [
        place.name
        for place in world.deployment.data_centres
        if fault.target in (place.name, place.region)
    ]
    world.network.cut(places)
    world.clock.after(fault.length_s, lambda: world.network.heal(places))


@_fault("burst")
def _burst(world: World, fault: Fault) -> None:
    """Requests of a kind, or of all, come ``factor`` times as often."""
    world.callers.speed_up(fault.target, fault.factor)
    world.clock.after(fault.length_s, lambda: world.callers.speed_up(fault.target, 1.0))
