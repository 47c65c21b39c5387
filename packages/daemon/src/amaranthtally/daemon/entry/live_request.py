"""One request in flight: its payload, the results so far, its answer."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from amaranthtally.daemon.entry.bound import BoundRequest
from amaranthtally.daemon.entry.caller_events import CallerEvents, Ending
from amaranthtally.daemon.entry.stream_text import ChunkFate, StreamText
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


class _Answer(msgspec.Struct, frozen=True):
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
    """What an entry keeps of a request until it ends."""

    arrival: Arrival
    input: bytes
    revision: int
    bound: BoundRequest | None = None
    arrived: float = field(default_factory=lambda: asyncio.get_running_loop().time())
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
    def on_last_stage(self) -> bool:
        """Whether the stage that runs now makes the caller's output."""
        return len(self.outputs) == len(self.arrival.pipeline.stages) - 1

    def stage_input(self) -> bytes:
        """Return the JSON body of the stage that runs now."""
        previous = msgspec.Raw(self.outputs[-1]) if self.outputs else NO_RESULT
        return msgspec.json.encode(_StageInput(msgspec.Raw(self.input), previous))

    def take_chunks(
        self, attempt: AttemptId, offset: int, texts: Sequence[str]
    ) -> ChunkFate:
        """
        Keep consecutive chunks of an attempt still wanted, where they come next.

        Returns what became of the last one looked at: none is after a bad one.
        """
        if attempt not in self.tasks or attempt.stage != len(self.outputs):
            return ChunkFate.DROPPED
        had = len(self.chunks)
        fate = ChunkFate.DROPPED
        for number, text in enumerate(texts, start=offset):
            fate = self.chunks.take(number, text)
            if fate in (ChunkFate.DIVERGENT, ChunkFate.TOO_LONG):
                break
        if self.arrival.streaming and self.on_last_stage:
            self.events.put(self.chunks.after(had))
        return fate

    def take_output(self, output: bytes, record: StageRecord) -> None:
        """Keep the output of the stage that ran."""
        self.outputs.append(output)
        self.records.append(record)
        self.chunks = StreamText()

    def text_output(self) -> bytes:
        """Return the streamed stage's whole text as its JSON output."""
        return msgspec.json.encode(_Text(str(self.chunks)))

    def finish(self) -> None:
        """End the request with its whole answer."""
        answer = _Answer(self.id, msgspec.Raw(self.outputs[-1]), self.records)
        self.events.end(Ending(answer=msgspec.json.encode(answer)))

    def refuse(self, refusal: Refuse) -> None:
        """End the request with a refusal."""
        self.events.end(Ending(refusal=refusal))

    @staticmethod
    def refused_on_arrival(arrival: Arrival) -> Refuse:
        """Return the refusal of a request whose caller left before it was read."""
        return Refuse(
            arrival.request_id, RequestOutcome.NOT_RUN, RefusalReason.CALLER_GONE
        )
