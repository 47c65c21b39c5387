"""The kinds of faults, registered by name."""

from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path

from amaranthtally.simulator.deployment import Deployment, Fault, check_known
from amaranthtally.simulator.entry_manager import RECORD_TTL_S
from amaranthtally.simulator.invariants import OWNER_AGREEMENT_S
from amaranthtally.simulator.servers import Server
from amaranthtally.simulator.simulation import Simulation

__all__ = ["check_faults", "fault_kinds", "plan_faults"]

# Start-up time of an entry, in seconds.
START_S = 1.0
# A flapping endpoint is down, then up, for this long each, in seconds.
FLAP_HALF_PERIOD_S = 1.0
# After a power loss, entries start at random times within this span, in seconds.
START_SPREAD_S = 0.5

Inject = Callable[[Simulation, Fault], None]
_KINDS: dict[str, Inject] = {}


def fault_kinds() -> list[str]:
    """Return the names of all kinds of faults."""
    return sorted(_KINDS)


def check_faults(path: Path | str, deployment: Deployment) -> None:
    """Raise ``DeploymentError`` if a deployment has an unknown kind of fault."""
    for number, fault in enumerate(deployment.faults):
        check_known(path, f"faults[{number}].kind", fault.kind, fault_kinds())


def plan_faults(simulation: Simulation) -> Simulation:
    """Schedule a deployment's faults, and a check of the pool owners afterwards."""
    check_faults(simulation.deployment.name, simulation.deployment)
    faults = simulation.deployment.faults
    for fault in faults:
        simulation.clock.at(
            fault.start_s, partial(_KINDS[fault.kind], simulation, fault)
        )
    last = max((fault.start_s + fault.length_s for fault in faults), default=0.0)
    settled = last + RECORD_TTL_S + START_S + START_SPREAD_S + OWNER_AGREEMENT_S
    if (
        settled
        < simulation.deployment.seconds + simulation.deployment.longest_deadline_s
    ):
        simulation.clock.at(settled, simulation.invariants.check_agreement)
    return simulation


def _fault(kind: str) -> Callable[[Inject], Inject]:
    def register(inject: Inject) -> Inject:
        _KINDS[kind] = inject
        return inject

    return register


def _targets(simulation: Simulation, fault: Fault) -> Sequence[Server]:
    """Return the endpoints that a fault names by id, pool or data centre."""
    return [
        server
        for server in simulation.servers.values()
        if fault.target
        in (server.endpoint.id, server.endpoint.pool, server.data_centre)
    ]


def _apply_temporarily(
    simulation: Simulation,
    fault: Fault,
    begin: Callable[[Server], None],
    end: Callable[[Server], None],
) -> None:
    for server in _targets(simulation, fault):
        begin(server)
        simulation.clock.after(fault.length_s, partial(end, server))


# Endpoints


@_fault("crash")
def _crash(simulation: Simulation, fault: Fault) -> None:
    """Endpoint processes crash and restart with empty memory."""
    _apply_temporarily(simulation, fault, Server.crash, Server.start)


@_fault("hang")
def _hang(simulation: Simulation, fault: Fault) -> None:
    """Endpoints accept work but finish none."""
    _apply_temporarily(simulation, fault, Server.hang, Server.resume)


@_fault("dark")
def _dark(simulation: Simulation, fault: Fault) -> None:
    """No messages reach the endpoints or come back from them."""

    def begin(server: Server) -> None:
        server.is_unreachable = True

    def end(server: Server) -> None:
        server.is_unreachable = False

    _apply_temporarily(simulation, fault, begin, end)


@_fault("slow")
def _slow(simulation: Simulation, fault: Fault) -> None:
    """Endpoints take ``factor`` times as long for their work."""

    def begin(server: Server) -> None:
        server.slowdown = fault.factor

    def end(server: Server) -> None:
        server.slowdown = 1.0

    _apply_temporarily(simulation, fault, begin, end)


@_fault("lost_answers")
def _lost_answers(simulation: Simulation, fault: Fault) -> None:
    """Endpoints do their work, but connections break before the response."""

    def begin(server: Server) -> None:
        server.drops_responses = True

    def end(server: Server) -> None:
        server.drops_responses = False

    _apply_temporarily(simulation, fault, begin, end)


@_fault("flap")
def _flap(simulation: Simulation, fault: Fault) -> None:
    """Endpoints crash and restart repeatedly."""
    cycles = max(1, int(fault.length_s / (2 * FLAP_HALF_PERIOD_S)))
    for cycle in range(cycles):
        for server in _targets(simulation, fault):
            at = simulation.clock.now + 2 * FLAP_HALF_PERIOD_S * cycle
            simulation.clock.at(at, server.crash)
            simulation.clock.at(at + FLAP_HALF_PERIOD_S, server.start)


@_fault("scale_in")
def _scale_in(simulation: Simulation, fault: Fault) -> None:
    """Endpoints announce that they leave, and are removed after ``length_s``."""
    for server in _targets(simulation, fault):
        name = server.endpoint.id
        simulation.mark_server_leaving(name)
        simulation.clock.after(fault.length_s, partial(simulation.remove_server, name))


# Entries


@_fault("kill")
def _kill(simulation: Simulation, fault: Fault) -> None:
    """An entry is killed, and starts again after ``length_s``."""
    simulation.entries.kill(fault.target)
    simulation.clock.after(
        fault.length_s, lambda: simulation.entries.start(fault.target)
    )


@_fault("kill_all")
def _kill_all(simulation: Simulation, fault: Fault) -> None:
    """All entries are killed at once, and start again after ``length_s``."""
    for name in simulation.entries.names:
        simulation.entries.kill(name)
        wait_s = (
            fault.length_s
            + START_SPREAD_S * simulation.workload.random_for("start", name).random()
        )
        simulation.clock.after(wait_s, partial(simulation.entries.start, name))


@_fault("rolling_stop")
def _rolling_stop(simulation: Simulation, fault: Fault) -> None:
    """Entries are stopped gracefully and restarted, one after another."""
    names = simulation.entries.names
    gap_s = fault.length_s / len(names)
    for number, name in enumerate(names):
        at = simulation.clock.now + number * gap_s
        simulation.clock.at(at, partial(simulation.entries.stop, name, START_S))


@_fault("freeze")
def _freeze(simulation: Simulation, fault: Fault) -> None:
    """An entry stops executing, then continues with its backlog."""
    entry = simulation.entries[fault.target]
    entry.freeze()
    simulation.clock.after(fault.length_s, entry.resume)


@_fault("store_cut")
def _store_cut(simulation: Simulation, fault: Fault) -> None:
    """An entry receives no changes from the store."""
    simulation.entries.disconnect_store(fault.target)
    simulation.clock.after(
        fault.length_s, lambda: simulation.entries.reconnect_store(fault.target)
    )


# Data centres and callers


@_fault("cut")
def _cut(simulation: Simulation, fault: Fault) -> None:
    """A data centre, or all of a region, is disconnected from the others."""
    data_centres = [
        data_centre.name
        for data_centre in simulation.deployment.data_centres
        if fault.target in (data_centre.name, data_centre.region)
    ]
    simulation.network.disconnect(data_centres)
    simulation.clock.after(
        fault.length_s, lambda: simulation.network.reconnect(data_centres)
    )


@_fault("burst")
def _burst(simulation: Simulation, fault: Fault) -> None:
    """Requests of one kind, or of all kinds, arrive ``factor`` times as often."""
    simulation.callers.set_rate_factor(fault.target, fault.factor)
    simulation.clock.after(
        fault.length_s, lambda: simulation.callers.set_rate_factor(fault.target, 1.0)
    )
