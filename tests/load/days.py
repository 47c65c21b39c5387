"""Days of the example deployments under one pattern of load or fault."""

import msgspec

from amaranthtally.simulator.deployment import Fault, read_deployment
from amaranthtally.simulator.requests import Ending
from tests.simulator.support import EXAMPLES

DEPLOYMENTS = {path.stem: read_deployment(path) for path in EXAMPLES}


def burst(kind, factor, start=5.0, length=6.0):
    """Return a burst of a kind, or of all where it is empty."""
    return Fault("burst", start, length, kind, factor)


def day_of(name, *faults, seconds=20.0, entries=2):
    """Return a deployment on a day with these faults alone."""
    found = DEPLOYMENTS[name]
    centres = tuple(
        msgspec.structs.replace(one, entries=entries) for one in found.data_centres
    )
    return msgspec.structs.replace(
        found, faults=faults, seconds=seconds, data_centres=centres
    )


def share_on_time(world, *kinds, since=0.0):
    """Return the share of requests that were answered on time."""
    found = _of(world, kinds, since)
    return sum(one.ending is Ending.ON_TIME for one in found) / len(found)


def share_served(world, *kinds):
    """Return the share of requests that were answered."""
    found = _of(world, kinds, 0.0)
    served = (Ending.ON_TIME, Ending.LATE)
    return sum(one.ending in served for one in found) / len(found)


def _of(world, kinds, since):
    return [
        one
        for one in world.callers.verdicts
        if one.kind in kinds and one.came_at > since
    ]
