"""The entries that are alive, by their records and their own messages."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

__all__ = ["PeerDirectory", "PeerRecord"]

# Time for which an entry without a record is taken to be alive after its last message,
# in seconds: three checks at intervals of one second, of which two may be lost.
MESSAGE_TTL_S = 3.0
# Time for which the address of an entry that has left is retained, in seconds. It is
# longer than the grace period of a stop, during which the entry waits for the results
# that it requested from others, and the time until it is started again.
ADDRESS_TTL_S = 30.0


@dataclass(frozen=True, slots=True)
class PeerRecord:
    """An entry's data centre, and the address for its peers as ``ip:port``."""

    address: str
    data_centre: str


class PeerDirectory:
    """
    Entries by name; times are time stamps in seconds.

    An entry whose record is missing is unconfirmed, but still alive. The lease of an
    entry that cannot reach the store expires although the entry runs and serves
    callers. If the other entries removed it at once, they would assign its endpoints to
    another owner while it kept using them, and two entries would fill each endpoint's
    queue and memory until the store could be reached again. Each unconfirmed entry is
    therefore asked directly, and stays alive while it answers that it is not leaving.
    """

    def __init__(self) -> None:
        self._registered: dict[str, PeerRecord] = {}
        self._unconfirmed: dict[str, float] = {}
        self._known: dict[str, PeerRecord] = {}
        self._left_at: dict[str, float] = {}

    @property
    def alive(self) -> Mapping[str, PeerRecord]:
        """Entries that are registered, and unconfirmed ones that have not left."""
        unconfirmed = {name: self._known[name] for name in self._unconfirmed}
        return {**self._registered, **unconfirmed}

    @property
    def unconfirmed(self) -> tuple[str, ...]:
        """Entries without a record, which must be asked whether they are alive."""
        return tuple(self._unconfirmed)

    @property
    def addresses(self) -> Mapping[str, str]:
        """
        Addresses of all known entries, including those that left recently.

        A stopping entry first removes its record and then waits for the results of the
        pieces that it requested. If its peers dropped the address together with the
        record, they could not report these results, and the entry would have to refuse
        its requests after all that work.
        """
        return {name: record.address for name, record in self._known.items()}

    @property
    def departed(self) -> Mapping[str, PeerRecord]:
        """Entries that left or fell silent recently, and may start again."""
        return {name: self._known[name] for name in self._left_at}

    # Records

    def put(self, name: str, record: PeerRecord) -> None:
        """Add or replace a record."""
        self._registered[name] = record
        self._known[name] = record
        self._unconfirmed.pop(name, None)
        self._left_at.pop(name, None)

    def replace(self, now: float, records: Mapping[str, PeerRecord]) -> None:
        """Apply the complete set of records."""
        self.records_removed(
            now, [name for name in self._registered if name not in records]
        )
        for name, record in records.items():
            self.put(name, record)

    def records_removed(self, now: float, names: Iterable[str]) -> None:
        """Make entries unconfirmed whose records were removed."""
        for name in names:
            if self._registered.pop(name, None) is not None:
                self._unconfirmed[name] = now + MESSAGE_TTL_S

    # Messages

    def note_greeting(self, now: float, name: str, record: PeerRecord) -> bool:
        """
        Add an entry that introduced itself; return whether it was not alive before.

        An entry that starts while the store is unavailable knows no peers and would
        serve no requests until the store is available again. Peers that know it from
        before greet it. From their greetings it learns of them, and it has their
        configuration within a second or two. A greeting without an address comes from
        an entry that is starting or leaving, and is ignored.
        """
        if name in self._registered or not record.address:
            return False
        is_new = name not in self._unconfirmed
        self._unconfirmed[name] = now + MESSAGE_TTL_S
        self._known[name] = record
        self._left_at.pop(name, None)
        return is_new

    def note_leaving(self, now: float, name: str, record: PeerRecord) -> bool:
        """
        Note that an entry is leaving; return whether it was alive until now.

        Its address is retained: it still answers, and may be the only one that knows
        the state of a registry that is unavailable.
        """
        was_alive = name in self._registered or name in self._unconfirmed
        self._registered.pop(name, None)
        self._unconfirmed.pop(name, None)
        self._known[name] = record
        self._left_at[name] = now
        return was_alive

    def note_alive(self, now: float, name: str) -> None:
        """Extend the life of an unconfirmed entry that answered a check."""
        if name in self._unconfirmed:
            self._unconfirmed[name] = now + MESSAGE_TTL_S

    def note_left(self, now: float, name: str) -> bool:
        """
        Remove an unconfirmed entry that left or does not answer.

        Return whether it was alive until now.
        """
        if self._unconfirmed.pop(name, None) is None:
            return False
        self._left_at[name] = now
        return True

    def expire(self, now: float) -> tuple[str, ...]:
        """Remove unconfirmed entries without recent messages, and return them."""
        silent = [name for name, until in self._unconfirmed.items() if until <= now]
        for name in silent:
            self.note_left(now, name)
        for name in [n for n, at in self._left_at.items() if now - at >= ADDRESS_TTL_S]:
            del self._left_at[name]
            del self._known[name]
        return tuple(silent)
