"""The replaceable components of a planner, for experiments that ablate one of them."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from amaranthtally.policy.admission import Admission
from amaranthtally.policy.ejection import Ejections
from amaranthtally.policy.fair_shares import FairShares, fair_shares
from amaranthtally.policy.groups import EndpointGroups
from amaranthtally.policy.load_view import LoadView, build_load_view
from amaranthtally.policy.loads import LoadTable
from amaranthtally.policy.piece_coordinator import PieceCoordinator
from amaranthtally.policy.prefixes import PrefixIndex
from amaranthtally.policy.request_inputs import RequestInputs
from amaranthtally.policy.routing import Router
from amaranthtally.policy.stage_times import StageTimes

__all__ = ["BuildInputs", "BuildLoadView", "BuildRouter", "PlannerComponents"]

BuildAdmission = Callable[[Random, StageTimes, LoadTable, FairShares], Admission]
BuildRouter = Callable[
    [Random, EndpointGroups, LoadTable, Ejections, PrefixIndex], Router
]
BuildInputs = Callable[
    [Random, PieceCoordinator, StageTimes, FairShares], RequestInputs
]

BuildLoadView = Callable[[Callable[[float, str], float], Random], LoadView]


@dataclass(frozen=True, slots=True)
class PlannerComponents:
    """Factories of the components that a planner delegates its decisions to."""

    stage_times: Callable[[], StageTimes] = StageTimes
    loads: Callable[[], LoadTable] = LoadTable
    ejections: Callable[[], Ejections] = Ejections
    accounts: Callable[[], FairShares] = fair_shares
    admission: BuildAdmission = Admission
    router: BuildRouter = Router
    coordinator: Callable[[], PieceCoordinator] = PieceCoordinator
    inputs: BuildInputs = RequestInputs
    load_view: BuildLoadView = build_load_view
