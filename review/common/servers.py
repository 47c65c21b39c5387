"""Stand-ins of servers: of a stage's service, and model servers that read results."""

import asyncio
import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from web import Connection, Request, head_of, listen

__all__ = ["Piece", "StageServer", "ModelServer", "Ledger"]

ID = "x-amaranthtally-request-id"
EXPECTED = "x-amaranthtally-expect-instance"
JSON = "application/json"


@dataclass(frozen=True)
class Piece:
    """A piece that a stage's server has computed."""

    request: str
    stage: int
    number: int


@dataclass
class Ledger:
    """What all servers saw: results by handle, and what model servers were given."""

    made: dict[str, Piece] = field(default_factory=dict)
    stored: set[str] = field(default_factory=set)
    given: list[tuple[float, str, str, tuple[str, ...]]] = field(default_factory=list)
    foreign_inputs: list[str] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)

    def note(self, text: str) -> None:
        """Add a line to the record, with the time of the loop."""
        self.notes.append(f"{asyncio.get_running_loop().time():.4f} {text}")


class _Server:
    """What all servers have: an id, a port, and the check of the expected id."""

    def __init__(self, name: str, ledger: Ledger) -> None:
        self.name = name
        self.ledger = ledger
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self._listener, self.port = await listen(self._handle)

    async def _handle(self, request: Request, connection: Connection) -> None:
        if request.headers.get(EXPECTED, self.name) != self.name:
            headers = {"X-Amaranthtally-Instance-Id": self.name}
            await connection.answer(421, headers)
        else:
            await self.serve(request, connection)

    async def serve(self, request: Request, connection: Connection) -> None:
        """Answer a request that is meant for this server."""
        raise NotImplementedError


class StageServer(_Server):
    """
    Computes pieces, one call at a time, and holds their results.

    ``answers_twice`` says whether the answer that is being given is followed by a
    second one, which comes late: where the next answer on the connection is due.
    """

    SLOTS, QUEUE = 1, 2

    def __init__(
        self,
        name: str,
        ledger: Ledger,
        answers_twice: Callable[[], bool],
        call_s: float = 0.2,
        piece_s: float = 0.021,
        kept_s: float = 4.0,
    ) -> None:
        super().__init__(name, ledger)
        self._answers_twice = answers_twice
        self._call_s = call_s
        self._piece_s = piece_s
        self._kept_s = kept_s
        self._turn = asyncio.Semaphore(self.SLOTS)
        self._held = 0
        self._serial = 0

    async def serve(self, request: Request, connection: Connection) -> None:
        """Compute pieces or free results."""
        while connection.extra:
            self.ledger.note(
                f"{self.name} sends an earlier answer a second time, as the answer to "
                f"{request.path} is due"
            )
            await connection.send(connection.extra.pop())
        body = json.loads(request.body)
        if request.path == "/v1/stage-free":
            self.ledger.stored.difference_update(body["handles"])
            self.ledger.note(f"{self.name} frees {len(body['handles'])} results")
            await connection.answer(200, self._headers(request), b"{}")
        elif self._held >= self.SLOTS + self.QUEUE:
            headers = {**self._headers(request), "X-Amaranthtally-Not-Executed": "1"}
            await connection.answer(503, headers)
        else:
            await self._run(request, connection, body["entries"])

    async def _run(
        self, request: Request, connection: Connection, entries: list[dict]
    ) -> None:
        self._held += 1
        try:
            async with self._turn:
                fetched = [self._has_inputs(entry) for entry in entries]
                await asyncio.sleep(self._call_s + self._piece_s * len(entries))
        finally:
            self._held -= 1
        results = []
        for entry, has_inputs in zip(entries, fetched, strict=True):
            if not has_inputs:
                results.append({"reason": "gone"})
                continue
            self._serial += 1
            handle = f"127.0.0.1:{self.port}/{self._serial:x}"
            piece = Piece(entry["id"], entry["phase"], entry["segment"])
            self.ledger.made[handle] = piece
            self.ledger.stored.add(handle)
            loop = asyncio.get_running_loop()
            loop.call_later(self._kept_s, self.ledger.stored.discard, handle)
            results.append({"handle": handle})
        ids = list(dict.fromkeys(entry["id"] for entry in entries))
        ends = [next(iter(results[n].values())) for n in (0, -1)]
        self.ledger.note(f"{self.name} made {len(entries)} of {ids}: {ends}")
        body = json.dumps({"entries": results}).encode()
        answer = head_of(200, self._headers(request), len(body)) + body
        if self._answers_twice():
            connection.extra.append(answer)
        await connection.send(answer)

    def _has_inputs(self, entry: dict) -> bool:
        """Whether the inputs of a piece are stored; note those that are not its own."""
        for handle in entry.get("inputHandles", ()):
            if handle not in self.ledger.stored:
                return False
            if self.ledger.made[handle].request != entry["id"]:
                now = asyncio.get_running_loop().time()
                self.ledger.foreign_inputs.append(
                    f"{now:.4f} a piece of {entry['id']} was given a result of "
                    f"{self.ledger.made[handle]}"
                )
        return True

    def _headers(self, request: Request) -> dict[str, str]:
        headers = {
            "Content-Type": JSON,
            "X-Amaranthtally-Server-Load": f"{min(self._held, 1)},0,{self.SLOTS}",
        }
        if ID in request.headers:
            headers["X-Amaranthtally-Request-Id"] = request.headers[ID]
        return headers


class ModelServer(_Server):
    """Reads the results that a request names, then streams events."""

    def __init__(
        self,
        name: str,
        ledger: Ledger,
        first_s: tuple[float, float] = (0.4, 1.6),
        gap_s: float = 0.03,
        events: int = 8,
    ) -> None:
        super().__init__(name, ledger)
        self._first_s = first_s
        self._draw = random.Random(name)
        self._gap_s = gap_s
        self._events = events

    async def serve(self, request: Request, connection: Connection) -> None:
        """Check the inputs and stream the events."""
        request_id = request.headers.get(ID, "")
        echoed = {"X-Amaranthtally-Request-Id": request_id}
        named = request.headers.get("x-amaranthtally-prompts")
        if named is None:
            refused = {**echoed, "X-Amaranthtally-Not-Executed": "1"}
            await connection.answer(400, refused)
            return
        handles = tuple(h for h in named.split(",") if h)
        if any(handle not in self.ledger.stored for handle in handles):
            refused = {**echoed, "X-Amaranthtally-Not-Executed": "1"}
            await connection.answer(409, refused)
            return
        now = asyncio.get_running_loop().time()
        chunks = request.headers.get("x-amaranthtally-chunks", "")
        self.ledger.given.append((now, request_id, chunks, handles))
        self.ledger.note(f"{self.name} runs {request_id} with {list(handles)}")
        headers = {
            **echoed,
            "X-Amaranthtally-Server-Signature": f"{self.name}.{request_id}",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        await asyncio.sleep(self._draw.uniform(*self._first_s))
        await connection.send(head_of(200, headers, None))
        for number in range(1, self._events + 1):
            event = f"id: {number}\ndata: {request_id}\n\n".encode()
            await connection.send(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await asyncio.sleep(self._gap_s)
        await connection.send(b"0\r\n\r\n")
