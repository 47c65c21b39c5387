"""The callers' HTTP contract."""

import asyncio
import re
import secrets
from dataclasses import dataclass

import msgspec
from aiohttp import hdrs, web

from amaranthtally.daemon.entry.executor import Executor
from amaranthtally.daemon.entry.live_request import Chunk, Ending, LiveRequest
from amaranthtally.daemon.entry.metrics import EntryMetrics
from amaranthtally.daemon.entry.pipelines import PipelineResolver
from amaranthtally.daemon.entry.problems import (
    Problem,
    problem_of_refusal,
    problem_response,
    render_problem,
)
from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import Arrival, Pipeline
from amaranthtally.settings import SettingsView

__all__ = ["CallerApi", "add_caller_routes"]

IDEMPOTENCY_KEY = "Idempotency-Key"
KEY_PATTERN = re.compile(r"^[\x21-\x7e]{1,128}$")
MAX_DEADLINE_MS = 600_000
REQUEST_ID_BYTES = 8
EVENT_STREAM = "text/event-stream"

log = get_logger()


class _Body(msgspec.Struct, forbid_unknown_fields=True):
    input: msgspec.Raw
    deadline_ms: int | None = None
    stream: bool = False


@dataclass(frozen=True, slots=True)
class _Accepted:
    """A request that passed every check and has not been handed on yet."""

    account: str
    pipeline: Pipeline
    body: _Body
    call_key: str


class CallerApi:
    """Checks callers' requests, submits them, and writes their endings."""

    def __init__(
        self, executor: Executor, metrics: EntryMetrics, region: str, max_body: int
    ) -> None:
        self._executor = executor
        self._metrics = metrics
        self._region = region
        self._max_body = max_body
        self._view: SettingsView | None = None
        self._pipelines: PipelineResolver | None = None
        self._open_responses = 0

    @property
    def open_responses(self) -> int:
        """Requests whose response has not been handed over whole."""
        return self._open_responses

    def settings_changed(self, view: SettingsView) -> None:
        """Use newer settings for what comes."""
        self._view = view
        self._pipelines = PipelineResolver(view, self._region)

    async def create_request(self, request: web.Request) -> web.StreamResponse:
        """Answer ``POST /v1/pipelines/{pipeline}/requests``."""
        checked = await self._check(request)
        if isinstance(checked, Problem):
            self._metrics.request_rejected(checked.status)
            return problem_response(checked)
        live = self._live_request(checked)
        self._executor.submit(live)
        self._open_responses += 1
        try:
            if checked.body.stream:
                return await self._stream(request, live)
            return self._answer(live, await live.ending())
        except (asyncio.CancelledError, ConnectionResetError):
            self._executor.abandon(live)
            raise
        finally:
            self._open_responses -= 1

    # Checks

    async def _check(self, request: web.Request) -> _Accepted | Problem:
        if self._view is None or self._pipelines is None:
            return Problem(
                503, "Starting", "Settings are not read yet; try again.", retry_after=1
            )
        account = self._view.account_of(_bearer_key(request))
        if account is None:
            return Problem(
                401, "Unknown key", "Send Authorization: Bearer with a valid key."
            )
        name = request.match_info["pipeline"]
        pipeline = self._pipelines.resolve(account, name)
        if pipeline is None:
            return Problem(
                404, "Unknown pipeline", f"No pipeline {name!r}; check the path."
            )
        body = await self._read_body(request)
        if isinstance(body, Problem):
            return body
        key = request.headers.get(IDEMPOTENCY_KEY, "")
        if key and not KEY_PATTERN.match(key):
            return Problem(
                400, "Bad key", f"{IDEMPOTENCY_KEY} takes 1 to 128 visible characters."
            )
        if not pipeline.repeatable and not key:
            return Problem(
                400,
                "Key required",
                f"Pipeline {name!r} has a side effect: send {IDEMPOTENCY_KEY}.",
            )
        return _Accepted(account, pipeline, body, key)

    async def _read_body(self, request: web.Request) -> _Body | Problem:
        try:
            raw = await request.read()
            body = msgspec.json.decode(raw, type=_Body)
        except web.HTTPRequestEntityTooLarge:
            return Problem(
                413, "Body too large", f"Send at most {self._max_body} bytes."
            )
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return Problem(400, "Bad body", f"{error}. Send JSON with a key 'input'.")
        deadline_ms = body.deadline_ms
        if deadline_ms is not None and not 0 < deadline_ms <= MAX_DEADLINE_MS:
            return Problem(
                400, "Bad deadline", f"deadline_ms goes from 1 to {MAX_DEADLINE_MS}."
            )
        return body

    def _live_request(self, checked: _Accepted) -> LiveRequest:
        assert self._view is not None
        deadline_s = checked.pipeline.deadline_s
        if checked.body.deadline_ms is not None:
            deadline_s = checked.body.deadline_ms / 1000
        raw = bytes(checked.body.input)
        arrival = Arrival(
            request_id=secrets.token_hex(REQUEST_ID_BYTES),
            account=checked.account,
            pipeline=checked.pipeline,
            deadline=asyncio.get_running_loop().time() + deadline_s,
            input_bytes=len(raw),
            streaming=checked.body.stream,
        )
        call_key = f"{checked.account}/{checked.pipeline.name}/{checked.call_key}"
        return LiveRequest(arrival, raw, call_key, self._view.revision)

    # Endings

    def _answer(self, live: LiveRequest, ending: Ending) -> web.Response:
        if ending.refusal is None:
            self._log_end(live, 200, "answered")
            return web.Response(body=ending.answer, content_type="application/json")
        problem = problem_of_refusal(ending.refusal)
        self._log_end(live, problem.status, ending.refusal.outcome.value)
        return problem_response(problem)

    async def _stream(
        self, request: web.Request, live: LiveRequest
    ) -> web.StreamResponse:
        first = await live.events.get()
        if isinstance(first, Ending) and first.refusal is not None:
            return self._answer(live, first)
        response = web.StreamResponse(headers={hdrs.CONTENT_TYPE: EVENT_STREAM})
        await response.prepare(request)
        event: Chunk | Ending = first
        while isinstance(event, Chunk):
            await response.write(
                _event("chunk", msgspec.json.encode({"text": event.text}))
            )
            event = await live.events.get()
        if event.refusal is None:
            await response.write(_event("done", event.answer))
            self._log_end(live, 200, "answered")
        else:
            problem = problem_of_refusal(event.refusal)
            await response.write(_event("error", render_problem(problem)))
            self._log_end(live, problem.status, event.refusal.outcome.value)
        await response.write_eof()
        return response

    def _log_end(self, live: LiveRequest, status: int, outcome: str) -> None:
        arrival = live.arrival
        took = asyncio.get_running_loop().time() - live.arrived
        self._metrics.request_ended(arrival.pipeline.name, status, took)
        log.info(
            "request_ended",
            request_id=live.id,
            account=arrival.account,
            pipeline=arrival.pipeline.name,
            status=status,
            outcome=outcome,
            ms=round(took * 1000, 1),
            revision=live.revision,
            stages=len(live.records),
        )


def add_caller_routes(app: web.Application, api: CallerApi) -> None:
    """Add the callers' routes to an application."""
    app.router.add_post("/v1/pipelines/{pipeline}/requests", api.create_request)


def _bearer_key(request: web.Request) -> str:
    scheme, _, key = request.headers.get(hdrs.AUTHORIZATION, "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _event(name: str, data: bytes) -> bytes:
    return b"event: %s\ndata: %s\n\n" % (name.encode(), data)
