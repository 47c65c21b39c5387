"""Simulated callers: arrivals, timeouts and one retry for each request."""

from collections.abc import Callable
from functools import partial
from random import Random

from amaranthtally.policy import Refuse, RequestOutcome
from amaranthtally.simulator.clock import VirtualClock
from amaranthtally.simulator.deployment import Deployment, Range, RequestKind
from amaranthtally.simulator.requests import Ending, Request, RequestRecord

__all__ = ["Callers", "Workload"]

# The number of times that a caller sends a request at most, retries included.
MAX_TRIES = 2
# Range of the delay before a caller retries after a broken connection, in seconds.
RECONNECT_DELAY_S = (0.05, 0.3)
# Delay before a caller retries if no entry accepts requests, in seconds.
NO_ENTRY_RETRY_S = 0.1
# Cost of a request that was sent twice without a response, as a share of its worth.
FAILED_RETRY_COST = 0.3
# Prompt segments are identified by random numbers of this many bits, wide enough that
# the unshared segment of a request never equals another one.
SEGMENT_ID_BITS = 62


class Workload:
    """The requests of a seed; they don't depend on what the entries do."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self._seed = seed
        self._deployment = deployment

    def random_for(self, *names: object) -> Random:
        """Return an independent random generator that is seeded by these names."""
        return Random(f"{self._seed}/" + "/".join(str(name) for name in names))

    def new_request(self, kind: RequestKind, number: int, now: float) -> Request:
        """Return a request of a kind, numbered within the kind."""
        random = self.random_for(kind.name, number)
        session = random.randrange(kind.sessions)
        shared = self.random_for(kind.name, "session", session)
        head = self.random_for(kind.name, "head", session % max(1, kind.heads))
        sizes = [
            _draw_int(head, kind.head_tokens) if kind.heads else 0,
            _draw_int(shared, kind.shared_tokens),
            _draw_int(random, kind.own_tokens),
        ]
        segments = [
            head.getrandbits(SEGMENT_ID_BITS),
            shared.getrandbits(SEGMENT_ID_BITS),
            random.getrandbits(SEGMENT_ID_BITS),
        ]
        return Request(
            id=f"{kind.name}-{number}",
            kind=kind,
            arrived_at=now,
            piece_counts=tuple(
                _draw_int(random, stage.pieces) for stage in kind.stages
            ),
            prefix=tuple(p for p, size in zip(segments, sizes, strict=True) if size),
            prefix_sizes=tuple(size for size in sizes if size),
            output_tokens=_draw_int(random, kind.answer_tokens),
        )


class Callers:
    """Sends requests to entries at random times, and records how they end."""

    def __init__(
        self,
        clock: VirtualClock,
        deployment: Deployment,
        workload: Workload,
        deliver: Callable[[Request, Random], bool],
        cancel: Callable[[Request], None],
    ) -> None:
        self.records: list[RequestRecord] = []
        # For each refusal, the request's kind and the seconds from sending to refusal.
        self.refusal_waits: list[tuple[str, float]] = []
        self._clock = clock
        self._deployment = deployment
        self._workload = workload
        self._deliver = deliver
        self._cancel = cancel
        self._pending: dict[str, Request] = {}
        self._factors: dict[str, float] = {}

    @property
    def pending_count(self) -> int:
        """The number of requests that have not ended."""
        return len(self._pending)

    def set_rate_factor(self, kind: str, factor: float) -> None:
        """
        Multiply the arrival rate of a kind.

        An empty name stands for all kinds that have no factor of their own.
        """
        self._factors[kind] = factor

    def start(self) -> None:
        """Schedule the first arrival of each kind."""
        for kind in self._deployment.kinds:
            random = self._workload.random_for(kind.name, "arrivals")
            self._schedule_arrival(kind, random, 0)

    def pending_request(self, try_id: str) -> Request | None:
        """Return the open request whose latest try has this id."""
        request = self._pending.get(try_id.rpartition(".")[0])
        return request if request is not None and request.try_id == try_id else None

    # Arrivals

    def _schedule_arrival(self, kind: RequestKind, random: Random, number: int) -> None:
        factor = self._factors.get(kind.name, self._factors.get("", 1.0))
        rate = max(1e-6, kind.rate * factor / kind.clump)
        at = self._clock.now + random.expovariate(rate)
        if at < self._deployment.seconds:
            self._clock.at(at, lambda: self._arrive(kind, random, number))

    def _arrive(self, kind: RequestKind, random: Random, number: int) -> None:
        for index in range(number, number + kind.clump):
            self.submit(self._workload.new_request(kind, index, self._clock.now))
        self._schedule_arrival(kind, random, number + kind.clump)

    def submit(self, request: Request) -> None:
        """Send a request and schedule its end at the deadline."""
        self._pending[request.id] = request
        self._clock.at(request.deadline, partial(self._abandon, request))
        self._send(request)

    def _send(self, request: Request) -> None:
        if request.id not in self._pending:
            return
        request.tries += 1
        request.sent_at = self._clock.now
        request.awaits_response = True
        if not self._deliver(
            request, self._workload.random_for(request.id, request.tries)
        ):
            request.tries -= 1
            self._clock.after(NO_ENTRY_RETRY_S, lambda: self._send(request))
            return
        patience_s = request.kind.patience_s
        if patience_s:
            tries = request.tries
            self._clock.after(patience_s, lambda: self._time_out(request, tries))

    # Timeouts

    def _time_out(self, request: Request, tries: int) -> None:
        awaits_response = request.awaits_response and request.tries == tries
        if awaits_response and request.first_event_at is None:
            self._abandon(request)

    def _abandon(self, request: Request) -> None:
        if request.id in self._pending:
            self._cancel(request)
            self._end(request, Ending.ABANDONED)

    # Responses

    def event_received(self, request: Request) -> None:
        """Record the time of a stream's event, and the gap before it."""
        now = self._clock.now
        if request.first_event_at is None:
            request.first_event_at = now
        else:
            gap_s = now - request.last_event_at
            request.longest_gap_s = max(request.longest_gap_s, gap_s)
        request.last_event_at = now

    def response_received(self, request: Request) -> None:
        """Record a complete response."""
        if request.id not in self._pending:
            return
        at = (
            self._clock.now
            if request.first_event_at is None
            else request.first_event_at
        )
        max_gap_s = request.kind.max_gap_s
        has_stalled = 0.0 < max_gap_s < request.longest_gap_s
        is_late = at > request.objective or has_stalled
        self._end(request, Ending.LATE if is_late else Ending.ON_TIME)

    def refusal_received(self, request: Request, refusal: Refuse) -> None:
        """Retry after the refusal's delay, if the request may be sent again."""
        self.refusal_waits.append(
            (request.kind.name, self._clock.now - request.sent_at)
        )
        may_retry = (
            refusal.outcome is RequestOutcome.NOT_RUN or request.kind.call != "effect"
        )
        wait_s = refusal.retry_after_s
        self._retry(request, wait_s, may_retry, Ending.REFUSED)

    def connection_lost(self, request: Request) -> None:
        """Retry after a broken connection, if the request may be sent again."""
        random = self._workload.random_for(request.id, request.tries, "cut")
        wait_s = random.uniform(*RECONNECT_DELAY_S)
        may_retry = request.kind.call != "effect"
        self._retry(request, wait_s, may_retry, Ending.FAILED)

    def _retry(
        self, request: Request, wait_s: float, may_retry: bool, ending: Ending
    ) -> None:
        if request.id not in self._pending:
            return
        has_time = self._clock.now + wait_s < request.deadline
        if request.tries >= MAX_TRIES or not may_retry or not has_time:
            self._end(request, ending)
            return
        request.first_event_at = None
        request.longest_gap_s = 0.0
        request.awaits_response = False
        self._clock.after(wait_s, lambda: self._send(request))

    def _end(self, request: Request, ending: Ending) -> None:
        del self._pending[request.id]
        kind = request.kind
        earned = {Ending.ON_TIME: kind.worth, Ending.LATE: kind.late_worth}.get(ending)
        if earned is None:
            earned = -FAILED_RETRY_COST * kind.worth * (request.tries >= MAX_TRIES)
        self.records.append(
            RequestRecord(
                kind.name,
                ending,
                request.arrived_at,
                self._clock.now,
                kind.worth,
                earned,
                request.tries,
                request.stage_s,
            )
        )


def _draw_int(random: Random, bounds: Range) -> int:
    return random.randint(*bounds)
