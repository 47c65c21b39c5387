"""Which entries hold copies of what one entry knows, and whom to ask for a copy."""

from collections.abc import Mapping

from amaranthtally.policy.rendezvous import duty_holder, ring_successor

__all__ = ["lookup_rounds", "recording_entry", "records_alone", "replica_holders"]

# Most entries of which all are asked. In a larger fleet, only those of two data centres
# are, so that the cost of a question does not grow with the fleet.
MAX_ASKED = 128
# In a fleet of up to this size each entry records what it knows, without a copy before.
MAX_RECORDING = 6
RECORDING_DUTY = "origins"


def records_alone(data_centres: Mapping[str, str]) -> bool:
    """Whether each entry records for itself, given the data centres of the others."""
    return len(data_centres) < MAX_RECORDING


def recording_entry(
    name: str, data_centre: str, data_centres: Mapping[str, str]
) -> str:
    """Return the entry that records what one knows: itself, or one for many."""
    if records_alone(data_centres):
        return name
    return duty_holder([name, *_members(data_centre, data_centres)], RECORDING_DUTY)


def replica_holders(
    name: str, data_centre: str, data_centres: Mapping[str, str]
) -> tuple[str, ...]:
    """
    Return the entries that hold copies for one, given the data centre of the others.

    One is its successor in the ring of its data centre, as the callers of an entry that
    fails come to the others there. The other one is in the next data centre, in case
    all entries of the first fail together.
    """
    near = _members(data_centre, data_centres)
    far = _members(_next_data_centre(data_centre, data_centres), data_centres)
    successors = (ring_successor(name, near), ring_successor(name, far))
    return tuple(successor for successor in successors if successor)


def lookup_rounds(
    data_centre: str, data_centres: Mapping[str, str]
) -> tuple[tuple[str, ...], ...]:
    """Return the entries to ask for a copy: first the near ones, then others."""
    near = _members(data_centre, data_centres)
    if len(data_centres) <= MAX_ASKED:
        far = tuple(name for name in data_centres if name not in near)
    else:
        far = _members(_next_data_centre(data_centre, data_centres), data_centres)
    return tuple(names for names in (near, far) if names)


def _members(data_centre: str, data_centres: Mapping[str, str]) -> tuple[str, ...]:
    return tuple(n for n, located in data_centres.items() if located == data_centre)


def _next_data_centre(data_centre: str, data_centres: Mapping[str, str]) -> str:
    return ring_successor(data_centre, set(data_centres.values()) - {data_centre})
