"""One caller's request on its way: what it needs, and what came of it so far."""

import asyncio
from dataclasses import dataclass, field

from amaranthtally.adapter.messages import AnswerHead, CallerRequest
from amaranthtally.policy import Arrival, AttemptId, Refuse, Route

__all__ = ["Answer", "Began", "Broken", "Event", "Events", "Finished", "LiveCall"]

# Events of a stream that may wait for a slow caller before its endpoint is read no
# further: a second's worth of a fast engine's.
WAITING_EVENTS = 64


@dataclass(frozen=True, slots=True)
class Answer:
    """An endpoint's whole answer."""

    head: AnswerHead
    body: bytes


@dataclass(frozen=True, slots=True)
class Began:
    """A stream has begun."""

    head: AnswerHead


@dataclass(frozen=True, slots=True)
class Events:
    """Whole events of a stream, as the endpoint sent them."""

    body: bytes


@dataclass(frozen=True, slots=True)
class Finished:
    """A stream has ended whole."""


@dataclass(frozen=True, slots=True)
class Broken:
    """The request ends without its answer, as the policy says."""

    refusal: Refuse


Event = Answer | Began | Events | Finished | Broken


@dataclass(slots=True)
class LiveCall:
    """
    A request that was admitted; ``events`` is what its caller is to be told.

    ``begun`` says whether the caller has a stream's head, ``last_event`` the id of the
    last whole event that it has, and ``failure`` an endpoint's own failed answer, which
    is passed on where no better one comes.
    """

    arrival: Arrival
    caller: CallerRequest
    method: str
    target: str
    body: bytes
    route: Route
    account: str
    received_at: float
    begun: bool = False
    last_event: str = ""
    event_count: int = 0
    failure: Answer | None = None
    tasks: dict[AttemptId, asyncio.Task[None]] = field(default_factory=dict)
    events: asyncio.Queue[Event] = field(
        default_factory=lambda: asyncio.Queue(WAITING_EVENTS)
    )
    attempts: int = 0
    ended: Event | None = None

    @property
    def id(self) -> str:
        """The request's id."""
        return self.arrival.request_id

    def end(self, event: Event) -> None:
        """
        End the request; nothing that came before is lost.

        A caller that reads nothing may have filled the queue: the end stands beside
        it, and is read once the queue is empty.
        """
        self.ended = event
        if not self.events.full():
            self.events.put_nowait(event)

    async def next(self) -> Event:
        """Return the next event for the caller."""
        if self.ended is not None and self.events.empty():
            return self.ended
        return await self.events.get()
