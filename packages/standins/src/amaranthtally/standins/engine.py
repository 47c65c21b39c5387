"""
Fake model engine: OpenAI-style completions with server-sent events.

The text is a function of the prompt alone, so that a stream resumed on another
engine continues with the same words.
"""

import asyncio
import secrets
import time
from collections import OrderedDict, deque
from hashlib import sha256
from typing import Any

import msgspec
from aiohttp import web

from amaranthtally.standins.registry import StandIn, json_response, standin

__all__ = ["EngineStandIn"]

BLOCK_CHARS = 64
EVENT_POLL_S = 0.05
WORDS = (
    *("check", "the", "hydraulic", "line", "then", "replace", "filter", "seal"),
    *("pump", "belt", "before", "restart", "inspect", "axle", "drain", "oil"),
    *("tighten", "bolt", "clean", "sensor", "test", "engine", "call", "mechanic"),
)


class _Completion(msgspec.Struct):
    prompt: str
    model: str = ""
    stream: bool = False
    priority: int = 0
    max_tokens: int = 0
    resume_offset: int = 0
    request_id: str = ""
    cache_salt: str = ""


class _Order(msgspec.Struct):
    fencing: int
    action: str = "load"
    model: str = ""
    adapter: str = ""
    version: str = ""
    role: str = ""

    @property
    def name(self) -> str:
        """The name under which calls ask for what the order loads."""
        adapter = f"+{self.adapter}" if self.adapter else ""
        version = f"@{self.version}" if self.version else ""
        return self.model + adapter + version


def words_for(prompt: str, count: int) -> list[str]:
    """Return the words that every engine gives for a prompt."""
    seed = sha256(prompt.encode()).digest()
    return [WORDS[(seed[i % len(seed)] + i) % len(WORDS)] + " " for i in range(count)]


def prefix_blocks(prompt: str, salt: str = "") -> list[str]:
    """Return the digests of a prompt's blocks, each covering all before it."""
    whole = len(prompt) // BLOCK_CHARS
    return [
        sha256((salt + prompt[: (i + 1) * BLOCK_CHARS]).encode()).hexdigest()[:16]
        for i in range(whole)
    ]


@standin
class EngineStandIn(StandIn):
    """Streams words; keeps a prefix cache; takes orders with fencing numbers."""

    kind = "engine"

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[float, int, str, str]] = deque(maxlen=1000)
        self._event_serial = 0
        self._epoch = secrets.token_hex(8)
        self._running = 0
        self._loads: deque[tuple[float, int]] = deque([(0.0, 0)], maxlen=1000)
        self._fencing = 0
        self._models: list[str] = []
        self._role = "both"
        self._cancelled: set[str] = set()

    def add_routes(self, app: web.Application) -> None:
        """Add the engine's routes."""
        app.router.add_post("/v1/completions", self._complete)
        app.router.add_post("/v1/cancel/{request_id}", self._cancel)
        app.router.add_get("/v1/load", self._read_load)
        app.router.add_get("/v1/cache/events", self._read_events)
        app.router.add_get("/v1/cache/blocks/{block}", self._export_block)
        app.router.add_put("/v1/cache/blocks/{block}", self._import_block)
        app.router.add_put("/v1/weights/{model}", self._take_weights)
        app.router.add_post("/v1/orders", self._take_order)

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        wanted = msgspec.json.decode(await request.read(), type=_Completion)
        if not self._answers(wanted.model):
            return json_response({"error": f"no model {wanted.model}"}, 404)
        self._note_load(1)
        try:
            fault = await self.before_effect()
            if fault is not None:
                return fault
            hits = self._use_cache(wanted.prompt, wanted.cache_salt)
            self.records.append(
                {
                    "request_id": wanted.request_id,
                    "resume_offset": wanted.resume_offset,
                    "cached_blocks": hits,
                    "blocks": len(wanted.prompt) // BLOCK_CHARS,
                    "model": wanted.model,
                }
            )
            missed = len(wanted.prompt) // BLOCK_CHARS - hits
            await asyncio.sleep(missed * self.knobs.block_time)
            words = words_for(wanted.prompt, wanted.max_tokens or self.knobs.tokens)
            if not wanted.stream:
                await self.after_effect()
                return json_response(_chunk("".join(words)))
            return await self._stream(request, wanted, words)
        finally:
            self._note_load(-1)

    async def _stream(
        self, request: web.Request, wanted: _Completion, words: list[str]
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        for sent, word in enumerate(words[wanted.resume_offset :], start=1):
            if self.knobs.token_time:
                await asyncio.sleep(self.knobs.token_time)
            if wanted.request_id in self._cancelled:
                break
            if not self._answers(wanted.model):
                self._cut(request, wanted)
                return response
            await response.write(
                b"data: " + msgspec.json.encode(_chunk(word)) + b"\n\n"
            )
            if sent == self.knobs.cut_after_tokens:
                if request.transport is not None:
                    request.transport.abort()
                return response
        await self.after_effect()
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        return response

    def _cut(self, request: web.Request, wanted: _Completion) -> None:
        self.records.append({"cut": wanted.request_id, "model": wanted.model})
        if request.transport is not None:
            request.transport.abort()

    def _answers(self, model: str) -> bool:
        """Whether a model can be asked; any, as long as none was ever loaded."""
        if self._role == "prefill":
            return False
        return not model or not self._fencing or model in self._models

    async def _cancel(self, request: web.Request) -> web.Response:
        self._cancelled.add(request.match_info["request_id"])
        return web.Response(text="ok\n")

    # Load, late

    def _note_load(self, step: int) -> None:
        self._running += step
        self._loads.append((time.monotonic(), self._running))

    async def _read_load(self, _: web.Request) -> web.Response:
        seen = time.monotonic() - self.knobs.load_lag
        running = [load for at, load in self._loads if at <= seen]
        return json_response(
            {
                "running": running[-1] if running else 0,
                "models": self._models,
                "role": self._role,
            }
        )

    # Prefix cache, its events late and with gaps

    def _use_cache(self, prompt: str, salt: str) -> int:
        hits = 0
        for block in prefix_blocks(prompt, salt):
            if block in self._cache:
                self._cache.move_to_end(block)
                hits += 1
            else:
                self._store_block(block)
        return hits

    def _store_block(self, block: str) -> None:
        self._cache[block] = None
        self._publish("stored", block)
        while len(self._cache) > self.knobs.cache_blocks:
            old, _ = self._cache.popitem(last=False)
            self._publish("removed", old)

    def _publish(self, kind: str, block: str) -> None:
        self._event_serial += 1
        gap = self.knobs.event_gap
        if gap and self._event_serial % gap == 0:
            return
        self._events.append((time.monotonic(), self._event_serial, kind, block))

    async def _read_events(self, request: web.Request) -> web.Response:
        """Answer with the events after a serial; waits a while for the first."""
        known = request.query.get("epoch", "") == self._epoch
        after = int(request.query.get("after", "0")) if known else 0
        until = time.monotonic() + float(request.query.get("wait", "0"))
        events = self._events_after(after)
        while not events and known and time.monotonic() < until:
            await asyncio.sleep(EVENT_POLL_S)
            events = self._events_after(after)
        return json_response({"epoch": self._epoch, "events": events})

    def _events_after(self, after: int) -> list[dict[str, Any]]:
        seen = time.monotonic() - self.knobs.event_lag
        return [
            {"serial": serial, "kind": kind, "block": block}
            for at, serial, kind, block in self._events
            if serial > after and at <= seen
        ]

    async def _export_block(self, request: web.Request) -> web.Response:
        if request.match_info["block"] not in self._cache:
            return web.Response(status=404)
        return web.Response(body=request.match_info["block"].encode())

    async def _import_block(self, request: web.Request) -> web.Response:
        self._store_block(request.match_info["block"])
        return web.Response(text="ok\n")

    # Orders

    async def _take_weights(self, request: web.Request) -> web.Response:
        size = 0
        async for chunk in request.content.iter_any():
            size += len(chunk)
        self.records.append({"weights": request.match_info["model"], "bytes": size})
        return web.Response(text="ok\n")

    async def _take_order(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=_Order)
        if self.knobs.fencing and order.fencing < self._fencing:
            return json_response({"error": "old fencing number"}, 409)
        self._fencing = max(self._fencing, order.fencing)
        self._obey(order)
        self.records.append(
            {
                "order": order.name or order.role,
                "action": order.action,
                "fencing": order.fencing,
            }
        )
        if self.knobs.lose_orders and request.transport is not None:
            self.knobs.lose_orders -= 1
            request.transport.abort()
        return json_response({"models": self._models, "role": self._role})

    def _obey(self, order: _Order) -> None:
        if order.action == "role":
            self._role = order.role
        elif order.action == "unload":
            self._models = [name for name in self._models if name != order.name]
        elif order.name not in self._models:
            self._models.append(order.name)


def _chunk(text: str) -> dict[str, Any]:
    return {"object": "text_completion", "choices": [{"index": 0, "text": text}]}
