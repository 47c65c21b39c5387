"""Callers: when they come, how long they wait, and that they come back once."""

from collections.abc import Callable
from functools import partial
from random import Random

from amaranthtally.policy import Refuse, RequestOutcome
from amaranthtally.simulator.clock import VirtualClock
from amaranthtally.simulator.deployment import Deployment, Kind, Range
from amaranthtally.simulator.requests import Ending, Request, RequestRecord

__all__ = ["Callers", "Drawn"]

# A caller sends a request twice at most.
MOST_TRIES = 2
# A caller whose connection broke comes back after so long, in seconds.
CUT_RETURN_S = (0.05, 0.3)
# A caller that finds no entry tries again after so long, in seconds.
NO_ENTRY_S = 0.1
# What a request costs, as a part of its worth, that was sent twice in vain.
TWICE_IN_VAIN = 0.3
# Parts of prompts are told apart by number: a request's own part is never shared.
PART_BITS = 62


class Drawn:
    """What callers send, drawn for one seed: the same whatever the entries do."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self._seed = seed
        self._deployment = deployment

    def of(self, *names: object) -> Random:
        """Return random numbers for a purpose of their own."""
        return Random(f"{self._seed}/" + "/".join(str(name) for name in names))

    def new_request(self, kind: Kind, number: int, now: float) -> Request:
        """Return a request of a kind."""
        random = self.of(kind.name, number)
        session = random.randrange(kind.sessions)
        shared = self.of(kind.name, "session", session)
        sizes = [
            _between(shared, kind.shared_tokens),
            _between(random, kind.own_tokens),
        ]
        parts = [shared.getrandbits(PART_BITS), random.getrandbits(PART_BITS)]
        return Request(
            id=f"{kind.name}-{number}",
            kind=kind,
            arrived_at=now,
            counts=tuple(_between(random, stage.pieces) for stage in kind.stages),
            prefix=tuple(p for p, size in zip(parts, sizes, strict=True) if size),
            sizes=tuple(size for size in sizes if size),
            tokens=_between(random, kind.answer_tokens),
        )


class Callers:
    """Sends requests to entries by turns of chance, and notes how they end."""

    def __init__(
        self,
        clock: VirtualClock,
        deployment: Deployment,
        drawn: Drawn,
        deliver: Callable[[Request, Random], bool],
        withdraw: Callable[[Request], None],
    ) -> None:
        self.records: list[RequestRecord] = []
        # Kinds of refused tries, and how long each was held, in seconds.
        self.refusal_waits: list[tuple[str, float]] = []
        self._clock = clock
        self._deployment = deployment
        self._drawn = drawn
        self._deliver = deliver
        self._withdraw = withdraw
        self._open: dict[str, Request] = {}
        self._factors: dict[str, float] = {}

    @property
    def waiting(self) -> int:
        """Callers that have no answer yet."""
        return len(self._open)

    def speed_up(self, kind: str, factor: float) -> None:
        """Let requests of a kind come so many times as often; empty: all kinds."""
        self._factors[kind] = factor

    def start(self) -> None:
        """Let requests come from now on."""
        for kind in self._deployment.kinds:
            random = self._drawn.of(kind.name, "arrivals")
            self._next(kind, random, 0)

    def find(self, try_id: str) -> Request | None:
        """Return a request that waits for the answer to this try."""
        request = self._open.get(try_id.rpartition(".")[0])
        return request if request is not None and request.try_id == try_id else None

    # Coming

    def _next(self, kind: Kind, random: Random, number: int) -> None:
        factor = self._factors.get(kind.name, self._factors.get("", 1.0))
        rate = max(1e-6, kind.rate * factor / kind.clump)
        at = self._clock.now + random.expovariate(rate)
        if at < self._deployment.seconds:
            self._clock.at(at, lambda: self._come(kind, random, number))

    def _come(self, kind: Kind, random: Random, number: int) -> None:
        for one in range(number, number + kind.clump):
            self.take(self._drawn.new_request(kind, one, self._clock.now))
        self._next(kind, random, number + kind.clump)

    def take(self, request: Request) -> None:
        """Let a caller come with a request."""
        self._open[request.id] = request
        self._clock.at(request.deadline, partial(self._leave, request))
        self._send(request)

    def _send(self, request: Request) -> None:
        if request.id not in self._open:
            return
        request.tries += 1
        request.sent_at = self._clock.now
        request.is_waiting = True
        if not self._deliver(request, self._drawn.of(request.id, request.tries)):
            request.tries -= 1
            self._clock.after(NO_ENTRY_S, lambda: self._send(request))
            return
        patience_s = request.kind.patience_s
        if patience_s:
            tries = request.tries
            self._clock.after(patience_s, lambda: self._lose_patience(request, tries))

    # Leaving

    def _lose_patience(self, request: Request, tries: int) -> None:
        is_waiting = request.is_waiting and request.tries == tries
        if is_waiting and request.began_at is None:
            self._leave(request)

    def _leave(self, request: Request) -> None:
        if request.id in self._open:
            self._withdraw(request)
            self._end(request, Ending.ABANDONED)

    # What comes back

    def began(self, request: Request) -> None:
        """Note a stream's first event."""
        if request.began_at is None:
            request.began_at = self._clock.now

    def answered(self, request: Request) -> None:
        """Note a whole answer."""
        if request.id not in self._open:
            return
        at = self._clock.now if request.began_at is None else request.began_at
        is_late = at > request.objective
        self._end(request, Ending.LATE if is_late else Ending.ON_TIME)

    def refused(self, request: Request, refusal: Refuse) -> None:
        """Come back once when told to, if it may be sent again."""
        self.refusal_waits.append(
            (request.kind.name, self._clock.now - request.sent_at)
        )
        may_return = (
            refusal.outcome is RequestOutcome.NOT_RUN or request.kind.call != "effect"
        )
        wait_s = refusal.retry_after_s
        self._return(request, wait_s, may_return, Ending.REFUSED)

    def cut_off(self, request: Request) -> None:
        """Come back once after a broken connection, if it may be sent again."""
        random = self._drawn.of(request.id, request.tries, "cut")
        wait_s = random.uniform(*CUT_RETURN_S)
        may_return = request.kind.call != "effect"
        self._return(request, wait_s, may_return, Ending.FAILED)

    def _return(
        self, request: Request, wait_s: float, may_return: bool, ending: Ending
    ) -> None:
        if request.id not in self._open:
            return
        has_time = self._clock.now + wait_s < request.deadline
        if request.tries >= MOST_TRIES or not may_return or not has_time:
            self._end(request, ending)
            return
        request.began_at = None
        request.is_waiting = False
        self._clock.after(wait_s, lambda: self._send(request))

    def _end(self, request: Request, ending: Ending) -> None:
        del self._open[request.id]
        kind = request.kind
        earned = {Ending.ON_TIME: kind.worth, Ending.LATE: kind.late_worth}.get(ending)
        if earned is None:
            earned = -TWICE_IN_VAIN * kind.worth * (request.tries >= MOST_TRIES)
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


def _between(random: Random, bounds: Range) -> int:
    return random.randint(*bounds)
