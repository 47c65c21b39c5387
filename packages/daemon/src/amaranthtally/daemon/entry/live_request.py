"""A request in flight: its input, the results so far and its response."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from amaranthtally.daemon.entry.bound import BoundRequest
from amaranthtally.daemon.entry.caller_events import CallerEvents, RequestEnd
from amaranthtally.daemon.entry.stream_text import ChunkOutcome, StreamText
from amaranthtally.policy import (
    Arrival,
    AttemptId,
    RefusalReason,
    Refuse,
    RequestOutcome,
)

__all__ = ["LiveRequest", "StageRecord"]


class StageRecord(msgspec.Struct, frozen=True):
    """Where a stage ran and how long it took, in milliseconds."""

    name: str
    endpoint: str
    host: str
    region: str
    ms: float
    queued_ms: float
    attempts: int


class _Response(msgspec.Struct, frozen=True):
    request_id: str
    output: msgspec.Raw
    stages: list[StageRecord]


class _StageInput(msgspec.Struct, frozen=True):
    input: msgspec.Raw
    previous: msgspec.Raw


class _Text(msgspec.Struct, frozen=True):
    text: str


NO_RESULT = msgspec.Raw(b"null")


@dataclass(slots=True)
class LiveRequest:
    """The state that an entry keeps for a request until it ends."""

    arrival: Arrival
    input: bytes
    revision: int
    bound: BoundRequest | None = None
    arrived_at: float = field(default_factory=lambda: asyncio.get_running_loop().time())
    events: CallerEvents = field(default_factory=CallerEvents)
    tasks: dict[AttemptId, asyncio.Task[None]] = field(default_factory=dict)
    outputs: list[bytes] = field(default_factory=list)
    records: list[StageRecord] = field(default_factory=list)
    chunks: StreamText = field(default_factory=StreamText)

    @property
    def id(self) -> str:
        """The request's id."""
        return self.arrival.request_id

    @property
    def is_on_last_stage(self) -> bool:
        """Whether the current stage is the last, whose output goes to the caller."""
        return len(self.outputs) == len(self.arrival.pipeline.stages) - 1

    def stage_input(self) -> bytes:
        """Return the JSON input of the current stage."""
        previous = msgspec.Raw(self.outputs[-1]) if self.outputs else NO_RESULT
        return msgspec.json.encode(_StageInput(msgspec.Raw(self.input), previous))

    def add_chunks(
        self, attempt: AttemptId, offset: int, texts: Sequence[str]
    ) -> ChunkOutcome:
        """
        Append consecutive chunks of an attempt, the first at ``offset``.

        Chunks of an attempt that has ended or was cancelled are dropped. Returns how
        the last chunk was handled; a divergent or too long chunk is the last one that
        is handled.
        """
        if attempt not in self.tasks or attempt.stage != len(self.outputs):
            return ChunkOutcome.DROPPED
        previous_count = len(self.chunks)
        outcome = ChunkOutcome.DROPPED
        for number, text in enumerate(texts, start=offset):
            outcome = self.chunks.add(number, text)
            if outcome in (ChunkOutcome.DIVERGENT, ChunkOutcome.TOO_LONG):
                break
        if self.arrival.streaming and self.is_on_last_stage:
            self.events.put(self.chunks.after(previous_count))
        return outcome

    def add_output(self, output: bytes, record: StageRecord) -> None:
        """Store the output of the current stage; the next stage becomes current."""
        self.outputs.append(output)
        self.records.append(record)
        self.chunks = StreamText()

    def text_output(self) -> bytes:
        """Return the complete text of the streamed stage as its JSON output."""
        return msgspec.json.encode(_Text(str(self.chunks)))

    def finish(self) -> None:
        """End the request with its complete response."""
        response = _Response(self.id, msgspec.Raw(self.outputs[-1]), self.records)
        self.events.end(RequestEnd(response=msgspec.json.encode(response)))

    def refuse(self, refusal: Refuse) -> None:
        """End the request with a refusal."""
        self.events.end(RequestEnd(refusal=refusal))

    @staticmethod
    def refused_on_arrival(arrival: Arrival) -> Refuse:
        """Return the refusal of a request whose caller left before it was read."""
        return Refuse(
            arrival.request_id, RequestOutcome.NOT_RUN, RefusalReason.CALLER_GONE
        )
