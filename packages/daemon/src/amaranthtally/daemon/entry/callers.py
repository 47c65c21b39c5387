"""The callers' HTTP contract."""

import asyncio
import secrets
from dataclasses import dataclass

import msgspec
from aiohttp import web

from amaranthtally.daemon.entry.binder import Binder, EffectRequest
from amaranthtally.daemon.entry.bound import BoundRequest
from amaranthtally.daemon.entry.caller_events import Chunks, Ending
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
    problem_of_refusal,
    problem_response,
    render_problem,
    truthful,
)
from amaranthtally.daemon.logs import get_logger
from amaranthtally.daemon.prompts import input_prefix_blocks
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


class _TokenAnswer(msgspec.Struct):
    token: str


@dataclass(frozen=True, slots=True)
class _Accepted:
    """A request that passed every check and has not been handed on yet."""

    account: str
    pipeline: Pipeline
    body: _Body
    call_key: str

    @property
    def deadline_s(self) -> float:
        """Time for the whole answer, in seconds."""
        own = self.body.deadline_ms
        return own / 1000 if own else self.pipeline.deadline_s


class CallerApi:
    """Checks callers' requests, submits them, and writes their endings."""

    def __init__(
        self,
        executor: Executor,
        binder: Binder,
        metrics: EntryMetrics,
        region: str,
        max_body: int,
        stall_timeout: float,
        most_prefix_blocks: int,
    ) -> None:
        self._executor = executor
        self._binder = binder
        self._metrics = metrics
        self._region = region
        self._max_body = max_body
        self._stall_timeout = stall_timeout
        self._most_prefix_blocks = most_prefix_blocks
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
        # Counted from here: a request that waits for its claim in the platform is
        # not in flight yet, and a planned stop that missed it would cut it.
        self._open_responses += 1
        try:
            return await self._create_request(request)
        finally:
            self._open_responses -= 1

    async def _create_request(self, request: web.Request) -> web.StreamResponse:
        received = asyncio.get_running_loop().time()
        checked = await self._check(request)
        if isinstance(checked, Problem):
            return self._refuse(request, checked)
        bound = await self._bind(checked)
        if isinstance(bound, Problem):
            return self._refuse(request, bound)
        live = self._live_request(checked, bound, received)
        self._executor.submit(live)
        try:
            if checked.body.stream:
                return await self._stream(request, live)
            return self._answer(live, await live.events.ending())
        except (asyncio.CancelledError, ConnectionResetError):
            self._executor.abandon(live)
            raise

    async def create_token(self, request: web.Request) -> web.Response:
        """Answer ``POST /v1/pipelines/{pipeline}/tokens``."""
        identified = self._identify(request)
        if isinstance(identified, Problem):
            return self._refuse(request, identified)
        account, pipeline = identified
        if pipeline.repeatable:
            return self._refuse(request, _NO_TOKEN_NEEDED)
        token = await self._binder.issue(account, pipeline)
        if isinstance(token, Problem):
            return self._refuse(request, token)
        body = msgspec.json.encode(_TokenAnswer(token))
        return web.Response(status=201, body=body, content_type="application/json")

    # Checks

    def _refuse(self, request: web.Request, problem: Problem) -> web.Response:
        self._metrics.request_rejected(problem.status)
        keyed = IDEMPOTENCY_KEY in request.headers
        return problem_response(truthful(problem, keyed))

    def _identify(self, request: web.Request) -> tuple[str, Pipeline] | Problem:
        if self._view is None or self._pipelines is None:
            return Problem(
                503, "Starting", "Settings are not read yet; try again.", retry_after=1
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
                404, "Unknown pipeline", f"No pipeline {name!r}; check the path."
            )
        return account, pipeline

    async def _check(self, request: web.Request) -> _Accepted | Problem:
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

    async def _bind(self, checked: _Accepted) -> BoundRequest | Problem | None:
        if checked.pipeline.repeatable:
            return None
        return await self._binder.bind(
            EffectRequest(
                checked.account,
                checked.pipeline,
                checked.call_key,
                bytes(checked.body.input),
                checked.deadline_s,
            )
        )

    def _live_request(
        self, checked: _Accepted, bound: BoundRequest | None, received: float
    ) -> LiveRequest:
        assert self._view is not None
        raw = bytes(checked.body.input)
        arrival = Arrival(
            request_id=secrets.token_hex(REQUEST_ID_BYTES),
            account=checked.account,
            pipeline=checked.pipeline,
            deadline=received + checked.deadline_s,
            input_bytes=len(raw),
            streaming=checked.body.stream,
            prefix=input_prefix_blocks(
                checked.account,
                checked.pipeline,
                checked.body.input,
                self._most_prefix_blocks,
            ),
            bound=bound.endpoints(checked.pipeline) if bound else {},
        )
        return LiveRequest(arrival, raw, self._view.revision, bound)

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
        event = await live.events.next()
        if isinstance(event, Ending) and event.refusal is not None:
            return self._answer(live, event)
        stream = EventStream(request, self._stall_timeout)
        await stream.open()
        while isinstance(event, Chunks):
            texts = [msgspec.json.encode({"text": text}) for text in event.texts]
            await stream.send("chunk", *texts)
            event = await live.events.next()
        if event.refusal is None:
            await stream.send("done", event.answer)
            self._log_end(live, 200, "answered")
        else:
            problem = problem_of_refusal(event.refusal)
            await stream.send("error", render_problem(problem))
            self._log_end(live, problem.status, event.refusal.outcome.value)
        await stream.close()
        return stream.response

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


_NO_TOKEN_NEEDED = Problem(
    409, "No token needed", "This pipeline has no side effect; send the request."
)


def add_caller_routes(app: web.Application, api: CallerApi) -> None:
    """Add the callers' routes to an application."""
    app.router.add_post("/v1/pipelines/{pipeline}/requests", api.create_request)
    app.router.add_post("/v1/pipelines/{pipeline}/tokens", api.create_token)
