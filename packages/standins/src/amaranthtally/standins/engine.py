"""
Fake model engine: OpenAI-style completions with server-sent events.

The text depends only on the prompt, so that a stream resumed on another engine
continues with the same words.
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

# Size of a block of the prefix cache, in characters of the prompt.
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
    """An order to load or unload a model, or to change the engine's role."""

    fencing: int
    action: str = "load"
    model: str = ""
    adapter: str = ""
    version: str = ""
    role: str = ""

    @property
    def name(self) -> str:
        """The name by which calls select the model that this order loads."""
        adapter = f"+{self.adapter}" if self.adapter else ""
        version = f"@{self.version}" if self.version else ""
        return self.model + adapter + version


def words_for(prompt: str, count: int) -> list[str]:
    """Return the first ``count`` words that any engine generates for a prompt."""
    seed = sha256(prompt.encode()).digest()
    return [WORDS[(seed[i % len(seed)] + i) % len(WORDS)] + " " for i in range(count)]


def prefix_blocks(prompt: str, salt: str = "") -> list[str]:
    """
    Return the digests of a prompt's complete blocks.

    Each digest covers the prompt from its start to the end of the block.
    """
    complete_blocks = len(prompt) // BLOCK_CHARS
    return [
        sha256((salt + prompt[: (i + 1) * BLOCK_CHARS]).encode()).hexdigest()[:16]
        for i in range(complete_blocks)
    ]


@standin
class EngineStandIn(StandIn):
    """Streams words, keeps a prefix cache and executes orders with fencing numbers."""

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
        app.router.add_put("/v1/weights/{model}", self._receive_weights)
        app.router.add_post("/v1/orders", self._receive_order)

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        completion = msgspec.json.decode(await request.read(), type=_Completion)
        if not self._serves(completion.model):
            return json_response({"error": f"no model {completion.model}"}, 404)
        self._add_load(1)
        try:
            fault = await self.before_effect()
            if fault is not None:
                return fault
            hits = self._use_cache(completion.prompt, completion.cache_salt)
            self.records.append(
                {
                    "request_id": completion.request_id,
                    "resume_offset": completion.resume_offset,
                    "cached_blocks": hits,
                    "blocks": len(completion.prompt) // BLOCK_CHARS,
                    "model": completion.model,
                }
            )
            missed_blocks = len(completion.prompt) // BLOCK_CHARS - hits
            await asyncio.sleep(missed_blocks * self.knobs.block_time)
            words = words_for(
                completion.prompt, completion.max_tokens or self.knobs.tokens
            )
            if not completion.stream:
                await self.after_effect()
                return json_response(_chunk("".join(words)))
            return await self._stream(request, completion, words)
        finally:
            self._add_load(-1)

    async def _stream(
        self, request: web.Request, completion: _Completion, words: list[str]
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        for sent, word in enumerate(words[completion.resume_offset :], start=1):
            if self.knobs.token_time:
                await asyncio.sleep(self.knobs.token_time)
            if completion.request_id in self._cancelled:
                break
            if not self._serves(completion.model):
                self._cut_stream(request, completion)
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

    def _cut_stream(self, request: web.Request, completion: _Completion) -> None:
        self.records.append({"cut": completion.request_id, "model": completion.model})
        if request.transport is not None:
            request.transport.abort()

    def _serves(self, model: str) -> bool:
        """
        Whether the engine serves completions of a model.

        Before its first order it serves every model; with the role ``prefill``, none.
        """
        if self._role == "prefill":
            return False
        return not model or not self._fencing or model in self._models

    async def _cancel(self, request: web.Request) -> web.Response:
        self._cancelled.add(request.match_info["request_id"])
        return web.Response(text="ok\n")

    # Load, reported with a delay of ``load_lag``

    def _add_load(self, change: int) -> None:
        self._running += change
        self._loads.append((time.monotonic(), self._running))

    async def _read_load(self, _: web.Request) -> web.Response:
        latest_visible = time.monotonic() - self.knobs.load_lag
        running = [load for at, load in self._loads if at <= latest_visible]
        return json_response(
            {
                "running": running[-1] if running else 0,
                "models": self._models,
                "role": self._role,
            }
        )

    # Prefix cache; ``event_lag`` delays its events; every ``event_gap``-th is dropped

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
            evicted, _ = self._cache.popitem(last=False)
            self._publish("removed", evicted)

    def _publish(self, kind: str, block: str) -> None:
        self._event_serial += 1
        gap = self.knobs.event_gap
        if gap and self._event_serial % gap == 0:
            return
        self._events.append((time.monotonic(), self._event_serial, kind, block))

    async def _read_events(self, request: web.Request) -> web.Response:
        """Return the events after a serial; wait up to ``wait`` s for the first one."""
        same_epoch = request.query.get("epoch", "") == self._epoch
        after = int(request.query.get("after", "0")) if same_epoch else 0
        wait_until = time.monotonic() + float(request.query.get("wait", "0"))
        events = self._events_after(after)
        while not events and same_epoch and time.monotonic() < wait_until:
            await asyncio.sleep(EVENT_POLL_S)
            events = self._events_after(after)
        return json_response({"epoch": self._epoch, "events": events})

    def _events_after(self, after: int) -> list[dict[str, Any]]:
        latest_visible = time.monotonic() - self.knobs.event_lag
        return [
            {"serial": serial, "kind": kind, "block": block}
            for at, serial, kind, block in self._events
            if serial > after and at <= latest_visible
        ]

    async def _export_block(self, request: web.Request) -> web.Response:
        if request.match_info["block"] not in self._cache:
            return web.Response(status=404)
        return web.Response(body=request.match_info["block"].encode())

    async def _import_block(self, request: web.Request) -> web.Response:
        self._store_block(request.match_info["block"])
        return web.Response(text="ok\n")

    # Orders

    async def _receive_weights(self, request: web.Request) -> web.Response:
        size = 0
        async for chunk in request.content.iter_any():
            size += len(chunk)
        self.records.append({"weights": request.match_info["model"], "bytes": size})
        return web.Response(text="ok\n")

    async def _receive_order(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=_Order)
        if self.knobs.fencing and order.fencing < self._fencing:
            return json_response({"error": "old fencing number"}, 409)
        self._fencing = max(self._fencing, order.fencing)
        self._execute(order)
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

    def _execute(self, order: _Order) -> None:
        if order.action == "role":
            self._role = order.role
        elif order.action == "unload":
            self._models = [name for name in self._models if name != order.name]
        elif order.name not in self._models:
            self._models.append(order.name)


def _chunk(text: str) -> dict[str, Any]:
    return {"object": "text_completion", "choices": [{"index": 0, "text": text}]}
