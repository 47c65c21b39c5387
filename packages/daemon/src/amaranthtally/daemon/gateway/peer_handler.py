"""Handles the calls of peer gateways."""

from collections.abc import Callable, Sequence

from amaranthtally.daemon.gateway.coordination import Coordination
from amaranthtally.daemon.gateway.executor import GatewayExecutor
from amaranthtally.daemon.gateway.stream_origin_tracker import StreamOriginTracker
from amaranthtally.policy import (
    LoadMessage,
    OriginEntry,
    PartEnd,
    PartNotice,
    PartSuccess,
    PermitAnswer,
    PermitAsk,
    Piece,
    PieceJob,
    PieceReport,
    RateLimitNotice,
    StoredResult,
    UsageReport,
)
from amaranthtally.wire.changes import ChangeBatch
from amaranthtally.wire.documents import DocumentPart, PartRequest
from amaranthtally.wire.gateway_codec import GatewayStatus, Greeter, Versions

__all__ = ["PeerHandler"]


class PeerHandler:
    """Passes peers' calls on to the executor and to the coordination of gateways."""

    def __init__(
        self,
        executor: GatewayExecutor,
        coordination: Callable[[], Coordination],
        on_greeting: Callable[[str, Greeter], None],
        origins: StreamOriginTracker,
    ) -> None:
        self._executor = executor
        self._coordination = coordination
        self._on_greeting = on_greeting
        self._origins = origins

    def exchange_status(
        self, name: str, greeter: Greeter, versions: Versions, follows: bool
    ) -> GatewayStatus:
        """Return this gateway's status; note the peer's record and versions."""
        self._on_greeting(name, greeter)
        return self._coordination().exchange_status(name, versions, follows)

    def read_part(self, request: PartRequest) -> DocumentPart:
        """Return a part of the configuration or of the records."""
        return self._coordination().documents.read_part(request)

    def read_changes(self, after: int) -> ChangeBatch | None:
        """Return changes after a revision of the store; ``None`` if not kept."""
        return self._coordination().read_changes(after)

    def push_received(self, name: str, batch: ChangeBatch, versions: Versions) -> bool:
        """Apply changes of a watcher; return whether this gateway follows it."""
        return self._coordination().push_received(name, batch, versions)

    def submit_jobs(self, submitter: str, jobs: Sequence[PieceJob]) -> None:
        """Accept jobs that a peer submits."""
        self._executor.jobs_submitted(submitter, jobs)

    def withdraw_jobs(self, pieces: Sequence[Piece]) -> Sequence[Piece]:
        """Drop those of a peer's jobs that have not started, and return them."""
        return self._executor.moves.jobs_withdrawn(pieces)

    def report_outcomes(self, reports: Sequence[PieceReport]) -> None:
        """Handle a peer's reports on jobs that this gateway submitted."""
        self._executor.reports_received(reports)

    def release_results(self, results: Sequence[StoredResult], ended: str) -> None:
        """Free results that a peer releases; ``ended`` is an ended request's id."""
        self._executor.results_freed(results, ended)

    def rate_limits_received(self, notices: Sequence[RateLimitNotice]) -> None:
        """Take the rate limits that a peer has passed on."""
        self._executor.rate_limits.limits_received(notices)

    def known_rate_limits(self) -> Sequence[RateLimitNotice]:
        """Return the rate limits that this gateway knows."""
        return self._executor.rate_limits.known

    def permits_asked(
        self, asker: str, asks: Sequence[PermitAsk]
    ) -> Sequence[PermitAnswer]:
        """Return the permits that a peer gets."""
        return self._executor.rate_limits.permits_asked(asker, asks)

    def part_notices_received(self, notices: Sequence[PartNotice]) -> None:
        """Take notices on parts of prompts that a peer has passed on."""
        self._executor.prompts.notices_received(notices)

    def known_part_notices(self) -> Sequence[PartNotice]:
        """Return the notices on parts of prompts that this gateway holds."""
        return self._executor.prompts.known

    def ends_reported(self, ends: Sequence[PartEnd]) -> None:
        """Take the ends of endpoints that a peer reports."""
        self._executor.prompts.ends_reported(ends)

    def successes_reported(self, successes: Sequence[PartSuccess]) -> None:
        """Take the successes of parts that a peer reports."""
        self._executor.prompts.successes_reported(successes)

    def loads_exchanged(self, sender: str, message: LoadMessage) -> LoadMessage:
        """Take what a peer knows of endpoints' loads; return what it lacks."""
        return self._executor.loads.exchange_received(sender, message)

    def usage_received(self, sender: str, report: UsageReport) -> None:
        """Take the work of client accounts that a peer reports."""
        self._executor.usage.received(sender, report)

    def copy_origins(self, entries: Sequence[OriginEntry]) -> None:
        """Hold copies of what a peer knows of the origins of streams."""
        self._origins.copies_received(entries)

    def find_origin(self, request_id: str) -> OriginEntry | None:
        """Return the origin of the stream that a request began, if it is held."""
        return self._origins.find_held(request_id)
