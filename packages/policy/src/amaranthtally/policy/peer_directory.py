"""Which entries live, by their records and by their own word."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

__all__ = ["PeerDirectory", "PeerRecord"]

# How long an entry without a record is taken to live after its own last word, in
# seconds: three checks of one second, of which two may be lost.
WORD_S = 3.0
# How long an entry that has gone can still be told things, in seconds: longer than the
# whole grace of a stop, in which it waits for what it asked of others.
REMEMBERED_S = 30.0


@dataclass(frozen=True, slots=True)
class PeerRecord:
    """Where an entry stands and where its peers reach it, as ``ip:port``."""

    address: str
    data_centre: str


class PeerDirectory:
    """
    Entries by name; times are time stamps in seconds.

    An entry whose record is missing is doubted, not gone. The failure: the lease of
    an entry that the store turns away runs out though it lives and serves callers.
    Those that still read the store then gave its endpoints to another owner, it kept
    its own, and two callers filled each endpoint's queue and memory for the length of
    the cut. Whoever is doubted is asked itself, and counts while it says that it stays.
    """

    def __init__(self) -> None:
        self._registered: dict[str, PeerRecord] = {}
        self._unconfirmed: dict[str, float] = {}
        self._known: dict[str, PeerRecord] = {}
        self._gone_at: dict[str, float] = {}

    @property
    def alive(self) -> Mapping[str, PeerRecord]:
        """Entries that take part: registered, or doubted and not yet gone."""
        doubted = {name: self._known[name] for name in self._unconfirmed}
        return {**self._registered, **doubted}

    @property
    def unconfirmed(self) -> tuple[str, ...]:
        """Entries that are to be asked whether they stay."""
        return tuple(self._unconfirmed)

    @property
    def addresses(self) -> Mapping[str, str]:
        """
        Addresses of all that are known, those that have gone a short while ago too.

        The failure: a stopping entry takes its record away first and then waits for
        the pieces that it has asked for. Peers that forgot its address with its record
        could not tell it of them, and its requests were refused after all that work.
        """
        return {name: record.address for name, record in self._known.items()}

    # Records

    def put(self, name: str, record: PeerRecord) -> None:
        """Take a new or changed record."""
        self._registered[name] = record
        self._known[name] = record
        self._unconfirmed.pop(name, None)
        self._gone_at.pop(name, None)

    def replace(self, now: float, records: Mapping[str, PeerRecord]) -> None:
        """Take all records, as they were read."""
        self.records_removed(
            now, [name for name in self._registered if name not in records]
        )
        for name, record in records.items():
            self.put(name, record)

    def records_removed(self, now: float, names: Iterable[str]) -> None:
        """Take word that records are no longer there."""
        for name in names:
            if self._registered.pop(name, None) is not None:
                self._unconfirmed[name] = now + WORD_S

    # Words

    def note_greeting(self, now: float, name: str, record: PeerRecord) -> bool:
        """
        Hear from an entry of itself; whether it was not known to live.

        The failure: an entry that starts while the store is away knows nobody, and
        serves nobody until the store is back. Its peers know it from before and greet
        it; so it learns of them, and has their configuration within a second or two.
        One that takes no part tells no address.
        """
        if name in self._registered or not record.address:
            return False
        is_new = name not in self._unconfirmed
        self._unconfirmed[name] = now + WORD_S
        self._known[name] = record
        self._gone_at.pop(name, None)
        return is_new

    def note_alive(self, now: float, name: str) -> None:
        """Hear from a doubted entry that it lives and stays."""
        if name in self._unconfirmed:
            self._unconfirmed[name] = now + WORD_S

    def note_left(self, now: float, name: str) -> bool:
        """Hear that an entry leaves or does not answer; whether that is news."""
        if self._unconfirmed.pop(name, None) is None:
            return False
        self._gone_at[name] = now
        return True

    def expire(self, now: float) -> tuple[str, ...]:
        """Drop those not heard of for long; return those that take part no more."""
        silent = [name for name, until in self._unconfirmed.items() if until <= now]
        for name in silent:
            self.note_left(now, name)
        for name in [n for n, at in self._gone_at.items() if now - at >= REMEMBERED_S]:
            del self._gone_at[name]
            del self._known[name]
        return tuple(silent)
