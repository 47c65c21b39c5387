"""Metrics of a gateway, served at its metrics address."""

from collections import Counter as Tally
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from aioprometheus import Counter, Gauge, Histogram

from amaranthtally.daemon.gateway.engine_choices import EngineChoiceMetrics
from amaranthtally.daemon.gateway.record_faults import RecordFaults
from amaranthtally.platform import StoreTransfer

__all__ = ["GatewayMetrics", "GatewayState"]

REQUEST_BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0)
CALL_BUCKETS_S = (0.05, 0.1, 0.25, 0.4, 0.6, 1.0, 2.0)


class _RequestLabels(NamedTuple):
    route: str
    status: str
    reason: str


class _CallLabels(NamedTuple):
    pool: str
    fate: str


class _PoolLabels(NamedTuple):
    pool: str


class _ResumptionLabels(NamedTuple):
    source: str


class _OutcomeLabels(NamedTuple):
    outcome: str


class _TransferLabels(NamedTuple):
    call: str
    outcome: str


@dataclass(frozen=True, slots=True)
class GatewayState:
    """A snapshot of a gateway's state, exported as one gauge for each field."""

    in_flight: int
    pieces_waiting: int
    peers: int
    endpoints: int
    endpoints_missing: int
    configuration: int
    configuration_heard: int
    configuration_behind_s: float
    records: int
    store_connected: bool
    store_watched: bool
    configuration_age_s: float
    records_age_s: float
    records_behind_s: float
    tasks_failed: int
    followers: int
    changes_refused: int
    stream_origins: int
    rate_limits: int
    connections_closed_unread: int
    prompt_parts_blocked: int
    endpoints_backing_off: int
    endpoints_cold: int
    data_centres_evacuated: int
    requests_blocked: int
    results_reserved: int
    pieces_moving: int
    pieces_dropped: int
    log_lines_lost: int
    load_view_pools: int
    load_view_senders: int
    load_view_messages: int
    load_view_sent_bytes: int
    load_view_failures: int
    load_view_rejected: int
    fair_share_accounts: int
    fair_share_senders: int
    fair_share_overloaded: bool
    fair_share_engines_s: float
    fair_share_stages_s: float
    memory_held_bytes: int
    memory_limit_bytes: float
    requests_ended_for_memory: int


class GatewayMetrics:
    """
    Counts events in plain tallies and copies them to the collectors at each scrape.

    That keeps counting cheap. Label values are names of routes and pools, bounded by
    the configuration, and reasons and outcomes, of which there are few.
    """

    def __init__(self) -> None:
        self._request_tally: Tally[_RequestLabels] = Tally()
        self._attempt_tally: Tally[_CallLabels] = Tally()
        self._limited_tally: Tally[_PoolLabels] = Tally()
        self._over_limit_tally: Tally[_PoolLabels] = Tally()
        self._unreachable_tally: Tally[_PoolLabels] = Tally()
        self._piece_tally: Tally[_CallLabels] = Tally()
        self._move_tally: Tally[_OutcomeLabels] = Tally()
        self._resumption_tally: Tally[_ResumptionLabels] = Tally()
        self._usage_tally: Tally[_OutcomeLabels] = Tally()
        self._transfer_tally: Tally[_TransferLabels] = Tally()
        self._received_bytes_tally: Tally[_TransferLabels] = Tally()
        self.engine_choices = EngineChoiceMetrics()
        self.record_faults = RecordFaults()
        self._requests = Counter(
            "amaranthtally_requests_total", "Requests by route, status and reason."
        )
        self._attempts = Counter(
            "amaranthtally_attempts_total", "Ended attempts by pool and fate."
        )
        self._limited_attempts = Counter(
            "amaranthtally_limited_attempts_total",
            "Attempts sent to endpoints that name a rate limit, by pool.",
        )
        self._over_limit = Counter(
            "amaranthtally_responses_over_limit_total",
            "Responses that were cut off because they exceeded a bound, by pool.",
        )
        self._unreachable = Counter(
            "amaranthtally_endpoints_unreachable_total",
            "Reports of endpoints that stay unreachable while their record stays.",
        )
        self._pieces = Counter(
            "amaranthtally_pieces_total", "Pieces in ended calls by pool and fate."
        )
        self._moves = Counter(
            "amaranthtally_pieces_moved_total",
            "Own jobs whose withdrawal was asked for at a peer, by outcome.",
        )
        self._resumptions = Counter(
            "amaranthtally_streams_taken_up_total",
            "Streams that callers take up, by how their version was found.",
        )
        self._transfers = Counter(
            "amaranthtally_store_calls_total", "Calls at the store by call and outcome."
        )
        self._usage_reports = Counter(
            "amaranthtally_usage_reports_total",
            "Reports of the work of accounts that gateways exchange, by outcome.",
        )
        self._bytes = Counter(
            "amaranthtally_store_received_bytes_total",
            "Bytes of the store's answers by call and outcome.",
        )
        self._malformed = Counter(
            "amaranthtally_records_malformed_total",
            "Records of the store that cannot be used, by prefix of their keys.",
        )
        self._listeners_failed = Counter(
            "amaranthtally_listeners_failed_total",
            "Failures to apply changes of the store, by prefix of their keys.",
        )
        self._seconds = Histogram(
            "amaranthtally_request_seconds",
            "Time from arrival to the end of a request, by route.",
            buckets=list(REQUEST_BUCKETS_S),
        )
        self._call_seconds = Histogram(
            "amaranthtally_piece_call_seconds",
            "Time of a call with pieces, by pool.",
            buckets=list(CALL_BUCKETS_S),
        )
        self._state = Gauge(
            "amaranthtally_gateway_state", "What the gateway holds now, by name."
        )

    def request_ended(
        self, route: str, status: int, reason: str, seconds: float
    ) -> None:
        """Count an ended request, also a refused one, and record its duration."""
        self._request_tally[_RequestLabels(route, str(status), reason)] += 1
        self._seconds.observe({"route": route}, seconds)

    def request_rejected(self, status: int) -> None:
        """
        Count a rejected request.

        Its path is not a label, as callers can send an unlimited number of paths.
        """
        self._request_tally[_RequestLabels("", str(status), "rejected")] += 1

    def attempt_ended(self, pool: str, outcome: str) -> None:
        """Count an ended attempt at an endpoint."""
        self._attempt_tally[_CallLabels(pool, outcome)] += 1

    def limited_attempt_sent(self, pool: str) -> None:
        """Count an attempt that is sent to an endpoint with a rate limit."""
        self._limited_tally[_PoolLabels(pool)] += 1

    def response_over_limit(self, pool: str) -> None:
        """Count a response that was cut off because it exceeded a bound."""
        self._over_limit_tally[_PoolLabels(pool)] += 1

    def unreachable_endpoint_reported(self, pool: str) -> None:
        """Count a report of an endpoint that stays unreachable, as does its record."""
        self._unreachable_tally[_PoolLabels(pool)] += 1

    def pieces_ended(
        self, pool: str, outcome: str, pieces: int, seconds: float
    ) -> None:
        """Count the pieces of an ended call and record its duration."""
        self._piece_tally[_CallLabels(pool, outcome)] += pieces
        self._call_seconds.observe({"pool": pool}, seconds)

    def pieces_moved(self, outcome: str, pieces: int) -> None:
        """Count jobs that a peer was asked to withdraw, so that they run elsewhere."""
        self._move_tally[_OutcomeLabels(outcome)] += pieces

    def stream_taken_up(self, source: str) -> None:
        """Count a stream that a caller takes up, by how its version was found."""
        self._resumption_tally[_ResumptionLabels(source)] += 1

    def usage_reported(self, outcome: str) -> None:
        """Count a report of the work of accounts, received, sent or not sent."""
        self._usage_tally[_OutcomeLabels(outcome)] += 1

    def store_called(self, transfer: StoreTransfer) -> None:
        """Count a call to the store and the bytes of its response."""
        labels = _TransferLabels(transfer.call, transfer.outcome)
        self._transfer_tally[labels] += 1
        self._received_bytes_tally[labels] += transfer.received_bytes

    def refresh(self, state: GatewayState) -> None:
        """Set the collectors to the tallies and to a snapshot of the state."""
        _copy_tally(self._request_tally, self._requests)
        _copy_tally(self._attempt_tally, self._attempts)
        _copy_tally(self._limited_tally, self._limited_attempts)
        _copy_tally(self._over_limit_tally, self._over_limit)
        _copy_tally(self._unreachable_tally, self._unreachable)
        _copy_tally(self._piece_tally, self._pieces)
        _copy_tally(self._move_tally, self._moves)
        _copy_tally(self._resumption_tally, self._resumptions)
        _copy_tally(self._usage_tally, self._usage_reports)
        _copy_tally(self._transfer_tally, self._transfers)
        _copy_tally(self._received_bytes_tally, self._bytes)
        self.engine_choices.refresh()
        for prefix, count in self.record_faults.malformed.items():
            self._malformed.set({"prefix": prefix}, count)
        for prefix, count in self.record_faults.failed.items():
            self._listeners_failed.set({"prefix": prefix}, count)
        for name in GatewayState.__dataclass_fields__:
            self._state.set({"name": name}, float(getattr(state, name)))


def _copy_tally(tally: Mapping[Any, int], counter: Counter) -> None:
    """Set a counter to a tally, whose keys are tuples with the names of labels."""
    for labels, count in tally.items():
        counter.set(labels._asdict(), count)
