"""Adapters that call each kind of endpoint, registered by a decorator."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec
from result import Err, Ok

from amaranthtally.daemon.prompts import build_prompt, cache_salt, input_text
from amaranthtally.daemon.sidecar.engine_cache import EngineCache
from amaranthtally.decoding import decode_json
from amaranthtally.platform import read_body, response_bounds
from amaranthtally.policy import DEFAULT_STAGE_LIMITS, StageLimits
from amaranthtally.wire import ChunkHandler, StageCall

__all__ = [
    "Adapter",
    "EndpointError",
    "EventSplitter",
    "ModelMissingError",
    "adapter_for",
    "adapter_kinds",
]

STREAM_END = b"[DONE]"
DATA_PREFIX = b"data: "
MAX_EVENT_BYTES = 1_048_576
CALL_MARGIN_S = 0.05
MIN_READ_TIMEOUT_S = 0.25
READ_TIMEOUT_SHARE = 0.5
NOT_FOUND = 404


class EndpointError(Exception):
    """
    The endpoint returned an error, or its stream ended early.

    ``permanent`` is true if a retry of the call would meet the same error.
    """

    def __init__(self, detail: str, permanent: bool = False) -> None:
        super().__init__(f"{detail}; look at the endpoint's own log")
        self.permanent = permanent


class ModelMissingError(EndpointError):
    """The engine rejected a call before starting it: the model is not loaded."""

    def __init__(self, model: str) -> None:
        super().__init__(f"the engine does not hold model {model!r}")


@dataclass(frozen=True, slots=True)
class EndpointCall:
    """
    A stage call and the endpoint to send it to.

    ``cache`` is set for an engine. ``limits`` bound what the endpoint may return.
    """

    session: aiohttp.ClientSession
    url: str
    call: StageCall
    on_chunk: ChunkHandler
    cache: EngineCache | None = None
    limits: StageLimits = DEFAULT_STAGE_LIMITS


Adapter = Callable[[EndpointCall], Awaitable[bytes]]
_ADAPTERS: dict[str, Adapter] = {}


def adapter_kinds() -> list[str]:
    """Return the kinds of endpoint that have an adapter."""
    return sorted(_ADAPTERS)


def adapter_for(kind: str) -> Adapter:
    """Return the adapter for a kind of endpoint; raise ``KeyError`` if unknown."""
    return _ADAPTERS[kind]


def _adapter(kind: str) -> Callable[[Adapter], Adapter]:
    def register(function: Adapter) -> Adapter:
        _ADAPTERS[kind] = function
        return function

    return register


class _StageInput(msgspec.Struct):
    input: msgspec.Raw
    previous: msgspec.Raw


class _RetrieverOutput(msgspec.Struct):
    documents: list[str] = []


# Pools


@_adapter("encoder")
async def _encode(target: EndpointCall) -> bytes:
    stage_input = _read_input(target.call)
    body = {"model": target.call.model, "input": stage_input.input}
    return await _post(target, "/v1/embeddings", body)


@_adapter("retriever")
async def _retrieve(target: EndpointCall) -> bytes:
    stage_input = _read_input(target.call)
    body = {"query": stage_input.input, "vector": stage_input.previous}
    return await _post(target, "/v1/search", body)


@_adapter("reranker")
async def _rerank(target: EndpointCall) -> bytes:
    stage_input = _read_input(target.call)
    documents = _documents(stage_input.previous)
    body = {
        "model": target.call.model,
        "query": stage_input.input,
        "documents": documents,
    }
    return await _post(target, "/v1/rerank", body)


# Model engines


@_adapter("engine")
async def _generate(target: EndpointCall) -> bytes:
    stage_input = _read_input(target.call)
    text = input_text(stage_input.input)
    if target.cache is not None:
        target.cache.record_prompt(target.call.account, text)
    body = {
        "model": target.call.model,
        "prompt": build_prompt(text, _documents(stage_input.previous)),
        "cache_salt": cache_salt(target.call.account),
        "stream": True,
        "priority": target.call.priority,
        "resume_offset": target.call.resume_offset,
        "request_id": target.call.id.request_id,
    }
    offset = target.call.resume_offset
    with response_bounds(target.limits.stream):
        response = await _send(target, "/v1/completions", body, {})
    async with response:
        # A late order of a previous lease holder may have unloaded the model since the
        # last reading of the engine's state.
        if response.status == NOT_FOUND:
            raise ModelMissingError(target.call.model)
        await _raise_for_status(response)
        events = EventSplitter()
        async for data_read in response.content.iter_any():
            for data in events.feed(data_read):
                if data == STREAM_END:
                    return msgspec.json.encode({"chunks": offset})
                await target.on_chunk(offset, _completion_text(data))
                offset += 1
        if events.incomplete_line == DATA_PREFIX + STREAM_END:
            return msgspec.json.encode({"chunks": offset})
    raise EndpointError("the engine's stream ended without its end mark")


class EventSplitter:
    """
    Extracts the data of server-sent events from an engine's byte stream.

    All bytes that arrive together are split at once: reading line by line would go
    through the HTTP library twice per token.
    """

    def __init__(self) -> None:
        self.incomplete_line = b""

    def feed(self, received: bytes) -> list[bytes]:
        """Add received bytes; return the data of the lines that they complete."""
        *lines, self.incomplete_line = (self.incomplete_line + received).split(b"\n")
        if len(self.incomplete_line) > MAX_EVENT_BYTES:
            raise EndpointError(f"an event has over {MAX_EVENT_BYTES} bytes")
        return [
            line[len(DATA_PREFIX) :].strip()
            for line in lines
            if line.startswith(DATA_PREFIX)
        ]


class _Choice(msgspec.Struct):
    text: str


class _Completion(msgspec.Struct):
    choices: list[_Choice]


def _completion_text(data: bytes) -> str:
    decoded = decode_json(data, _Completion)
    if isinstance(decoded, Err):
        raise EndpointError(f"malformed event of the engine: {decoded.err_value}")
    if not decoded.ok_value.choices:
        raise EndpointError("an event of the engine has no choice")
    return decoded.ok_value.choices[0].text


# Plain services


@_adapter("plain")
async def _call_plain(target: EndpointCall) -> bytes:
    stage_input = _read_input(target.call)
    body = {"input": stage_input.input, "previous": stage_input.previous}
    headers = {"Idempotency-Key": target.call.call_key} if target.call.call_key else {}
    return await _post(target, f"/v1/{target.call.stage_name}", body, headers)


# Common functions of the adapters

_JSON_HEADERS = {"Content-Type": "application/json"}


def _read_input(call: StageCall) -> _StageInput:
    decoded = decode_json(call.input, _StageInput)
    if isinstance(decoded, Err):
        cause = f"malformed input of the stage: {decoded.err_value}"
        raise EndpointError(cause, permanent=True)
    return decoded.ok_value


def _documents(previous: msgspec.Raw) -> list[str]:
    if bytes(previous) == b"null":
        return []
    decoded = decode_json(bytes(previous), _RetrieverOutput)
    return decoded.ok_value.documents if isinstance(decoded, Ok) else []


def _timeout(call: StageCall) -> aiohttp.ClientTimeout:
    # An at-most-once call is awaited past the caller's deadline: its effect may happen
    # late, and a repeat of the call must get its outcome.
    if not call.repeatable:
        return aiohttp.ClientTimeout(total=None)
    # A frozen endpoint keeps its connection open without sending anything. The call
    # fails after half of the remaining time without a byte, so that the other half is
    # left for a retry at another endpoint.
    return aiohttp.ClientTimeout(
        total=call.remaining_s + CALL_MARGIN_S,
        sock_read=max(MIN_READ_TIMEOUT_S, call.remaining_s * READ_TIMEOUT_SHARE),
    )


async def _post(
    target: EndpointCall, path: str, body: Any, headers: dict[str, str] | None = None
) -> bytes:
    with response_bounds(target.limits.whole):
        response = await _send(target, path, body, headers or {})
    async with response:
        await _raise_for_status(response)
        return await read_body(response)


async def _send(
    target: EndpointCall, path: str, body: Any, headers: dict[str, str]
) -> aiohttp.ClientResponse:
    return await target.session.post(
        target.url + path,
        data=msgspec.json.encode(body),
        headers={**_JSON_HEADERS, **headers},
        timeout=_timeout(target.call),
    )


async def _raise_for_status(response: aiohttp.ClientResponse) -> None:
    if response.status >= 400:
        raise EndpointError(
            f"endpoint answered {response.status}",
            permanent=response.status < 500,
        )
