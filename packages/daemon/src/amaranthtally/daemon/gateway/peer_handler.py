"""What a gateway answers the others."""

from collections.abc import Callable, Sequence

from amaranthtally.adapter.store import StoreItem
from amaranthtally.daemon.gateway.executor import GatewayExecutor
from amaranthtally.daemon.gateway.store_follower import (
    ConfigurationFollower,
    RecordFollower,
)
from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import PeerRecord, PieceAsk, PieceTold, StoredResult
from amaranthtally.wire.gateway_codec import Beliefs, Greeting, Record, Versions

__all__ = ["PeerHandler"]

log = get_logger()


class PeerHandler:
    """Hands peers' words on, and keeps what they know newer."""

    def __init__(
        self,
        executor: GatewayExecutor,
        configuration: ConfigurationFollower,
        records: RecordFollower,
        on_greeting: Callable[[str, PeerRecord], None],
        on_newer: Callable[[str], object],
        is_leaving: Callable[[], bool],
    ) -> None:
        self._executor = executor
        self._configuration = configuration
        self._records = records
        self._on_greeting = on_greeting
        self._on_newer = on_newer
        self._is_leaving = is_leaving

    @property
    def versions(self) -> Versions:
        """How new this gateway's configuration and records are."""
        return Versions(self._configuration.version, self._records.at)

    def greeted(self, name: str, record: PeerRecord, versions: Versions) -> Greeting:
        """Return this gateway's versions to a peer; fetch what it has newer."""
        self._on_greeting(name, record)
        self._configuration.hear_of(versions.configuration, name)
        if versions.configuration > self._configuration.version:
            self._on_newer(name)
        return Greeting(self.versions, self._is_leaving())

    def beliefs(self) -> Beliefs:
        """Return the configuration and records."""
        records = tuple(
            Record(item.key, item.value or b"", item.revision)
            for item in self._records.items
        )
        return Beliefs(self.versions, self._configuration.value, records)

    def heard_of(self, peer: str, versions: Versions) -> None:
        """Note what a peer has."""
        self._configuration.hear_of(versions.configuration, peer)

    def take_from_peer(self, peer: str, beliefs: Beliefs) -> None:
        """Take what a peer has newer."""
        theirs = beliefs.versions
        log.info(
            "beliefs_from_peer",
            peer=peer,
            configuration=theirs.configuration,
            own_configuration=self._configuration.version,
            records=theirs.records,
            own_records=self._records.at,
        )
        if theirs.configuration > self._configuration.version:
            self._configuration.take(beliefs.configuration, peer)
        if theirs.records > self._records.at:
            items = [StoreItem(r.key, r.value, r.revision) for r in beliefs.records]
            self._records.replace(tuple(items))
            self._records.reached(theirs.records)

    def asked(self, asker: str, asks: Sequence[PieceAsk]) -> None:
        """Take pieces that a peer wants made."""
        self._executor.pieces_asked(asker, asks)

    def told(self, told: Sequence[PieceTold]) -> None:
        """Hear what became of pieces."""
        self._executor.pieces_told(told)

    def freed(self, results: Sequence[StoredResult], ended: str) -> None:
        """Hear that results are read no more, and of a request that has ended."""
        self._executor.results_freed(results, ended)
