"""Injection of faults into the fakes; a decorator registers each kind's injector."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from functools import partial

from amaranthtally.operator.replay.entry import FakeEntry
from amaranthtally.operator.replay.network import CUT_DETECTION_S, Network
from amaranthtally.operator.replay.sidecar import FakeSidecar
from amaranthtally.operator.replay.trace import Fault, FaultKind

__all__ = ["Targets", "schedule_faults"]


@dataclass(frozen=True, slots=True)
class Targets:
    """The fakes that faults can be injected into."""

    network: Network
    fleet: Mapping[str, FakeSidecar]
    entries: Sequence[FakeEntry]

    def affected_sidecars(self, fault: Fault) -> Iterable[FakeSidecar]:
        """Return the sidecars of the endpoints that a fault affects."""
        return [self.fleet[name] for name in fault.endpoints]


Injector = Callable[[Targets, Fault], None]
_INJECTORS: dict[FaultKind, Injector] = {}


def schedule_faults(targets: Targets, faults: Iterable[Fault]) -> None:
    """
    Schedule the start and the end of each fault on the clock.

    Bursts and floods need no injection: the trace's arrivals contain them.
    """
    for fault in faults:
        injector = _INJECTORS.get(fault.kind)
        if injector is not None:
            injector(targets, fault)


def _injector(kind: FaultKind) -> Callable[[Injector], Injector]:
    def register(function: Injector) -> Injector:
        _INJECTORS[kind] = function
        return function

    return register


@_injector(FaultKind.SLOW)
def _slow(targets: Targets, fault: Fault) -> None:
    clock = targets.network.clock
    for sidecar in targets.affected_sidecars(fault):
        slow_down = sidecar.endpoint.slow_down
        clock.at(fault.start_s, partial(slow_down, fault.factor))
        clock.at(fault.end_s, partial(slow_down, 1.0))


@_injector(FaultKind.FAILING)
def _failing(targets: Targets, fault: Fault) -> None:
    clock = targets.network.clock
    for sidecar in targets.affected_sidecars(fault):
        clock.at(fault.start_s, partial(sidecar.endpoint.fail, True))
        clock.at(fault.end_s, partial(sidecar.endpoint.fail, False))


@_injector(FaultKind.REGION_CUT)
def _region_cut(targets: Targets, fault: Fault) -> None:
    clock = targets.network.clock
    clock.at(fault.start_s, partial(targets.network.cut, fault.region))
    clock.at(fault.end_s, partial(targets.network.cut, ""))
    for entry in targets.entries:
        lose_attempts = partial(entry.lose_attempts_across, fault.region)
        clock.at(fault.start_s + CUT_DETECTION_S, lose_attempts)


@_injector(FaultKind.LATE_LOAD)
def _late_load(targets: Targets, fault: Fault) -> None:
    clock = targets.network.clock
    for sidecar in targets.fleet.values():
        clock.at(fault.start_s, partial(sidecar.delay_load, fault.factor))
        clock.at(fault.end_s, partial(sidecar.delay_load, 0.0))


@_injector(FaultKind.COLD_CACHE)
def _cold_cache(targets: Targets, fault: Fault) -> None:
    for sidecar in targets.fleet.values():
        targets.network.clock.at(fault.start_s, sidecar.endpoint.clear_cache)
