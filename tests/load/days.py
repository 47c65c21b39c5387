"""Simulated days of the example deployments, each with one load or fault pattern."""

import msgspec

from amaranthtally.simulator.deployment import Fault, read_deployment
from amaranthtally.simulator.requests import Ending
from tests.simulator.support import EXAMPLES

DEPLOYMENTS = {path.stem: read_deployment(path) for path in EXAMPLES}


def burst(kind, factor, start=5.0, length=6.0):
    """Return a burst of requests of one kind, or of all kinds if it is empty."""
    return Fault("burst", start, length, kind, factor)


def day_of(name, *faults, seconds=20.0, entries=2):
    """Return a deployment with only these faults, and this many entries in a centre."""
    deployment = DEPLOYMENTS[name]
    centres = tuple(
        msgspec.structs.replace(centre, entries=entries)
        for centre in deployment.data_centres
    )
    return msgspec.structs.replace(
        deployment, faults=faults, seconds=seconds, data_centres=centres
    )


def share_on_time(simulation, *kinds, since=0.0):
    """Return the share of requests of these kinds that were answered on time."""
    records = _records_of(simulation, kinds, since)
    return sum(record.ending is Ending.ON_TIME for record in records) / len(records)


def share_served(simulation, *kinds):
    """Return the share of requests of these kinds that were answered at all."""
    records = _records_of(simulation, kinds, 0.0)
    served = (Ending.ON_TIME, Ending.LATE)
    return sum(record.ending in served for record in records) / len(records)


def _records_of(simulation, kinds, since):
    return [
        record
        for record in simulation.callers.records
        if record.kind in kinds and record.arrived_at > since
    ]
