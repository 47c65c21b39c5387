"""The HTTP API for callers."""

import asyncio
import secrets
from dataclasses import dataclass

import msgspec
from aiohttp import web
from result import Err

from amaranthtally.daemon.entry.binder import Binder, EffectRequest
from amaranthtally.daemon.entry.bound import BoundRequest
from amaranthtally.daemon.entry.caller_events import Chunks, RequestEnd
from amaranthtally.daemon.entry.caller_headers import (
    IDEMPOTENCY_KEY,
    bearer_key,
    is_well_formed,
)
from amaranthtally.daemon.entry.event_stream import EventStream
from amaranthtally.daemon.entry.executor import Executor
from amaranthtally.daemon.entry.live_request import LiveRequest
from amaranthtally.daemon.entry.metrics import EntryMetrics
from amaranthtally.daemon.entry.pipelines import PipelineResolver
from amaranthtally.daemon.entry.problems import (
    Problem,
    correct_keyed_outcome,
    problem_of_refusal,
    problem_response,
    render_problem,
)
from amaranthtally.daemon.logs import get_logger
from amaranthtally.daemon.prompts import input_prefix_blocks
from amaranthtally.decoding import decode_json
from amaranthtally.policy import Arrival, Pipeline
from amaranthtally.settings import SettingsView

__all__ = ["CallerApi", "add_caller_routes"]

MAX_DEADLINE_MS = 600_000
REQUEST_ID_BYTES = 8

log = get_logger()


class _Body(msgspec.Struct, forbid_unknown_fields=True):
    input: msgspec.Raw
    deadline_ms: int | None = None
    stream: bool = False


class _TokenResponse(msgspec.Struct):
    token: str


@dataclass(frozen=True, slots=True)
class _ValidRequest:
    """A request that passed every check and is not yet submitted to the executor."""

    account: str
    pipeline: Pipeline
    body: _Body
    call_key: str

    @property
    def deadline_s(self) -> float:
        """Time limit for the complete response, in seconds."""
        requested_ms = self.body.deadline_ms
        return requested_ms / 1000 if requested_ms else self.pipeline.deadline_s


class CallerApi:
    """Validates callers' requests, submits them and writes their responses."""

    def __init__(
        self,
        executor: Executor,
        binder: Binder,
        metrics: EntryMetrics,
        region: str,
        max_body_bytes: int,
        stall_timeout_s: float,
        max_prefix_blocks: int,
    ) -> None:
        self._executor = executor
        self._binder = binder
        self._metrics = metrics
        self._region = region
        self._max_body_bytes = max_body_bytes
        self._stall_timeout_s = stall_timeout_s
        self._max_prefix_blocks = max_prefix_blocks
        self._view: SettingsView | None = None
        self._pipelines: PipelineResolver | None = None
        self._open_responses = 0

    @property
    def open_responses(self) -> int:
        """Number of requests whose response is not yet completely written."""
        return self._open_responses

    def settings_changed(self, view: SettingsView) -> None:
        """Apply newer settings to later requests."""
        self._view = view
        self._pipelines = PipelineResolver(view, self._region)

    async def create_request(self, request: web.Request) -> web.StreamResponse:
        """Handle ``POST /v1/pipelines/{pipeline}/requests``."""
        # Count the request before its key is claimed: a request that waits for the
        # platform is not in flight in the executor yet, and a planned stop that did not
        # count it would cut it off.
        self._open_responses += 1
        try:
            return await self._create_request(request)
        finally:
            self._open_responses -= 1

    async def _create_request(self, request: web.Request) -> web.StreamResponse:
        received_at = asyncio.get_running_loop().time()
        valid = await self._validate(request)
        if isinstance(valid, Problem):
            return self._refuse(request, valid)
        bound = await self._bind(valid)
        if isinstance(bound, Problem):
            return self._refuse(request, bound)
        live_request = self._build_live_request(valid, bound, received_at)
        self._executor.submit(live_request)
        try:
            if valid.body.stream:
                return await self._stream(request, live_request)
            return self._respond(live_request, await live_request.events.wait_for_end())
        except (asyncio.CancelledError, ConnectionResetError):
            self._executor.abandon(live_request)
            raise

    async def create_token(self, request: web.Request) -> web.Response:
        """Handle ``POST /v1/pipelines/{pipeline}/tokens``."""
        identified = self._identify(request)
        if isinstance(identified, Problem):
            return self._refuse(request, identified)
        account, pipeline = identified
        if pipeline.repeatable:
            return self._refuse(request, _NO_TOKEN_NEEDED)
        token = await self._binder.issue(account, pipeline)
        if isinstance(token, Problem):
            return self._refuse(request, token)
        body = msgspec.json.encode(_TokenResponse(token))
        return web.Response(status=201, body=body, content_type="application/json")

    # Validation

    def _refuse(self, request: web.Request, problem: Problem) -> web.Response:
        self._metrics.request_rejected(problem.status)
        has_key = IDEMPOTENCY_KEY in request.headers
        return problem_response(correct_keyed_outcome(problem, has_key))

    def _identify(self, request: web.Request) -> tuple[str, Pipeline] | Problem:
        if self._view is None or self._pipelines is None:
            return Problem(
                503,
                "Starting",
                "Settings are not read yet; try again.",
                retry_after=1,
            )
        account = self._view.account_of(bearer_key(request))
        if account is None:
            return Problem(
                401, "Unknown key", "Send Authorization: Bearer with a valid key."
            )
        name = request.match_info["pipeline"]
        pipeline = self._pipelines.resolve(account, name)
        if pipeline is None:
            return Problem(
                404,
                "Unknown pipeline",
                f"No pipeline {name!r}; check the path.",
            )
        return account, pipeline

    async def _validate(self, request: web.Request) -> _ValidRequest | Problem:
        identified = self._identify(request)
        if isinstance(identified, Problem):
            return identified
        account, pipeline = identified
        body = await self._read_body(request)
        if isinstance(body, Problem):
            return body
        key = request.headers.get(IDEMPOTENCY_KEY, "")
        if key and not is_well_formed(key):
            return Problem(
                400, "Bad key", f"{IDEMPOTENCY_KEY} takes 1 to 128 visible characters."
            )
        if not pipeline.repeatable and not key:
            return Problem(
                400,
                "Key required",
                f"{pipeline.name!r} has a side effect: send {IDEMPOTENCY_KEY}.",
            )
        return _ValidRequest(account, pipeline, body, key)

    async def _read_body(self, request: web.Request) -> _Body | Problem:
        try:
            raw = await request.read()
        except web.HTTPRequestEntityTooLarge:
            return Problem(
                413, "Body too large", f"Send at most {self._max_body_bytes} bytes."
            )
        decoded = decode_json(raw, _Body)
        if isinstance(decoded, Err):
            cause = decoded.err_value
            return Problem(400, "Bad body", f"{cause}. Send JSON with a key 'input'.")
        body = decoded.ok_value
        deadline_ms = body.deadline_ms
        if deadline_ms is not None and not 0 < deadline_ms <= MAX_DEADLINE_MS:
            return Problem(
                400, "Bad deadline", f"deadline_ms goes from 1 to {MAX_DEADLINE_MS}."
            )
        return body

    async def _bind(self, valid: _ValidRequest) -> BoundRequest | Problem | None:
        if valid.pipeline.repeatable:
            return None
        return await self._binder.bind(
            EffectRequest(
                valid.account,
                valid.pipeline,
                valid.call_key,
                bytes(valid.body.input),
                valid.deadline_s,
            )
        )

    def _build_live_request(
        self, valid: _ValidRequest, bound: BoundRequest | None, received_at: float
    ) -> LiveRequest:
        assert self._view is not None
        raw = bytes(valid.body.input)
        arrival = Arrival(
            request_id=secrets.token_hex(REQUEST_ID_BYTES),
            account=valid.account,
            pipeline=valid.pipeline,
            deadline=received_at + valid.deadline_s,
            input_bytes=len(raw),
            streaming=valid.body.stream,
            prefix=input_prefix_blocks(
                valid.account,
                valid.pipeline,
                valid.body.input,
                self._max_prefix_blocks,
            ),
            bound=bound.endpoints(valid.pipeline) if bound else {},
        )
        return LiveRequest(arrival, raw, self._view.revision, bound)

    # Responses

    def _respond(self, live_request: LiveRequest, end: RequestEnd) -> web.Response:
        if end.refusal is None:
            self._log_request_end(live_request, 200, "answered")
            return web.Response(body=end.response, content_type="application/json")
        problem = problem_of_refusal(end.refusal)
        self._log_request_end(live_request, problem.status, end.refusal.outcome.value)
        return problem_response(problem)

    async def _stream(
        self, request: web.Request, live_request: LiveRequest
    ) -> web.StreamResponse:
        event = await live_request.events.next_event()
        if isinstance(event, RequestEnd) and event.refusal is not None:
            return self._respond(live_request, event)
        stream = EventStream(request, self._stall_timeout_s)
        await stream.open()
        while isinstance(event, Chunks):
            texts = [msgspec.json.encode({"text": text}) for text in event.texts]
            await stream.send("chunk", *texts)
            event = await live_request.events.next_event()
        if event.refusal is None:
            await stream.send("done", event.response)
            self._log_request_end(live_request, 200, "answered")
        else:
            problem = problem_of_refusal(event.refusal)
            await stream.send("error", render_problem(problem))
            self._log_request_end(
                live_request, problem.status, event.refusal.outcome.value
            )
        await stream.close()
        return stream.response

    def _log_request_end(
        self, live_request: LiveRequest, status: int, outcome: str
    ) -> None:
        arrival = live_request.arrival
        duration_s = asyncio.get_running_loop().time() - live_request.arrived_at
        self._metrics.request_ended(arrival.pipeline.name, status, duration_s)
        log.info(
            "request_ended",
            request_id=live_request.id,
            account=arrival.account,
            pipeline=arrival.pipeline.name,
            status=status,
            outcome=outcome,
            ms=round(duration_s * 1000, 1),
            revision=live_request.revision,
            stages=len(live_request.records),
        )


_NO_TOKEN_NEEDED = Problem(
    409, "No token needed", "This pipeline has no side effect; send the request."
)


def add_caller_routes(app: web.Application, api: CallerApi) -> None:
    """Add the callers' routes to an application."""
    app.router.add_post("/v1/pipelines/{pipeline}/requests", api.create_request)
    app.router.add_post("/v1/pipelines/{pipeline}/tokens", api.create_token)
