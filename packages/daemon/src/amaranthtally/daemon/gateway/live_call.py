"""A caller's request in flight: its parameters and its state."""

import asyncio
from dataclasses import dataclass, field

from amaranthtally.adapter.messages import CallerRequest, ResponseHead
from amaranthtally.daemon.gateway.caller_memory import CallerMemory
from amaranthtally.daemon.gateway.held_body import HeldBody
from amaranthtally.policy import Arrival, AttemptId, Refuse, Route, StreamOrigin

__all__ = [
    "CallEvent",
    "CompleteResponse",
    "LiveCall",
    "RequestFailed",
    "StreamEnded",
    "StreamEvents",
    "StreamStarted",
    "event_queue",
]

# Events of a stream that may be queued for a slow caller before the gateway stops
# reading from the endpoint, if its memory has no limit. A fast engine sends as many in
# a second.
MAX_QUEUED_EVENTS = 64


@dataclass(frozen=True, slots=True)
class CompleteResponse:
    """The complete response of an endpoint."""

    head: ResponseHead
    body: HeldBody


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """An endpoint has started to send a stream."""

    head: ResponseHead


@dataclass(frozen=True, slots=True)
class StreamEvents:
    """One or more complete events of a stream, as the endpoint sent them."""

    body: bytes


@dataclass(frozen=True, slots=True)
class StreamEnded:
    """A stream has ended without an error."""


@dataclass(frozen=True, slots=True)
class RequestFailed:
    """The policy has ended the request without a complete response."""

    refusal: Refuse


CallEvent = (
    CompleteResponse | StreamStarted | StreamEvents | StreamEnded | RequestFailed
)


def event_queue(*, is_limited: bool) -> asyncio.Queue[CallEvent]:
    """Return a queue of events; a limited memory bounds its size, not its length."""
    return asyncio.Queue(0 if is_limited else MAX_QUEUED_EVENTS)


@dataclass(slots=True)
class LiveCall:
    """
    An admitted request; ``events`` is the queue of events for its caller.

    ``stream_started`` says whether the caller has been sent the head of a stream, and
    ``last_event`` is the id of the last complete event sent to it.
    ``origin`` is where the stream began, ``None`` before its first event.
    ``body`` is ``None`` once it has been released, as no attempt can follow.
    ``memory`` counts what is held for it. A gateway with a limited memory reads from
    endpoints without waiting for the caller, since endpoints cut off responses that
    remain unread; ``events`` has no limit of its own then.
    ``is_answering`` says whether any of the response may have been written.
    ``failed_response`` is an endpoint's error response; the caller gets it if no
    attempt succeeds. ``tried_endpoints`` are those that attempts were sent to.
    """

    arrival: Arrival
    caller: CallerRequest
    method: str
    target: str
    body: HeldBody | None
    route: Route
    account: str
    received_at: float
    memory: CallerMemory
    is_answering: bool = False
    stream_started: bool = False
    last_event: str = ""
    event_count: int = 0
    origin: StreamOrigin | None = None
    failed_response: CompleteResponse | None = None
    tasks: dict[AttemptId, asyncio.Task[None]] = field(default_factory=dict)
    events: asyncio.Queue[CallEvent] = field(
        default_factory=lambda: event_queue(is_limited=False)
    )
    attempts: int = 0
    tried_endpoints: set[str] = field(default_factory=set)
    final_event: CallEvent | None = None

    @property
    def id(self) -> str:
        """The request's id."""
        return self.arrival.request_id

    def finish(self, event: CallEvent) -> None:
        """
        End the request with a final event, after the events already queued.

        The queue may be full if the caller does not read. The final event is then kept
        outside of it and returned once the queue is empty.
        """
        self.final_event = event
        if not self.events.full():
            self.events.put_nowait(event)

    async def put_events(self, body: bytes) -> None:
        """Queue complete events for the caller; wait while memory is scarce."""
        self.memory.add_event(body)
        await self.events.put(StreamEvents(body))
        await self.memory.wait_until_drained()

    def fail_with(self, response: CompleteResponse) -> None:
        """Keep an endpoint's error response, in place of an earlier one."""
        if self.failed_response is not None:
            self.memory.remove(self.failed_response.body.size)
        self.failed_response = response

    def release_body(self) -> None:
        """Drop the request's body, which no attempt will send again."""
        if self.body is not None:
            self.memory.remove(self.body.size)
            self.body = None

    async def next(self) -> CallEvent:
        """Return the next event for the caller."""
        if self.final_event is not None and self.events.empty():
            return self.final_event
        return await self.events.get()
