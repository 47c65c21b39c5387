"""``amaranthtally request``: send one request as a client account."""

import asyncio
import sys
from typing import Annotated, Any

import aiohttp
import msgspec
from cyclopts import App, Parameter

from amaranthtally.operator.exit_codes import ExitCode
from amaranthtally.operator.output import print_document, print_table
from amaranthtally.platform import bounded_session, read_body

__all__ = ["add_request_command"]

# Waited for the response beyond the request's deadline.
RESPONSE_MARGIN_S = 5.0
MS_PER_S = 1000


class _Stage(msgspec.Struct):
    name: str
    endpoint: str
    region: str
    ms: float
    queued_ms: float
    attempts: int


class _Response(msgspec.Struct):
    request_id: str
    output: Any
    stages: list[_Stage]


class _Problem(msgspec.Struct):
    title: str = ""
    detail: str = ""
    outcome: str = ""


def add_request_command(app: App) -> None:
    """Add the command to the application."""
    app.command(request)


def request(
    pipeline: Annotated[str, Parameter(help="Name of the pipeline.")],
    text: Annotated[str, Parameter(help="Input of the request.")],
    /,
    *,
    entry_url: Annotated[
        str,
        Parameter(
            env_var="AMARANTHTALLY_ENTRY_URL",
            help="Address at which callers reach an entry, as http://IP:PORT.",
        ),
    ],
    account_key: Annotated[
        str,
        Parameter(
            env_var="AMARANTHTALLY_ACCOUNT_KEY",
            help="Bearer key of a client account; prefer the environment variable.",
        ),
    ],
    deadline_ms: Annotated[
        int, Parameter(help="Deadline of the request, in milliseconds from now.")
    ] = 4000,
    idempotency_key: Annotated[
        str, Parameter(help="Idempotency key, for a pipeline whose stages require one.")
    ] = "",
    json: Annotated[
        bool, Parameter(negative="", help="Print JSON for scripts.")
    ] = False,
) -> ExitCode:
    """Send one request; print its output and the time of each stage."""
    headers = {"Authorization": f"Bearer {account_key}"}
    if idempotency_key:
        headers["Idempotency-Key"] = idempotency_key
    url = f"{entry_url.rstrip('/')}/v1/pipelines/{pipeline}/requests"
    body = {"input": text, "deadline_ms": deadline_ms}
    try:
        status, raw = asyncio.run(_send(url, headers, body))
    except (aiohttp.ClientError, TimeoutError) as error:
        cause = str(error) or type(error).__name__
        sys.stderr.write(f"amaranthtally: no response from {url} ({cause})\n")
        return ExitCode.UNREACHABLE
    if json:
        sys.stdout.write(raw.decode() + "\n")
    if status != 200:
        return _print_refusal(raw)
    if not json:
        _print_response(msgspec.json.decode(raw, type=_Response))
    return ExitCode.DONE


async def _send(
    url: str, headers: dict[str, str], body: dict[str, Any]
) -> tuple[int, bytes]:
    total = body["deadline_ms"] / MS_PER_S + RESPONSE_MARGIN_S
    timeout = aiohttp.ClientTimeout(total=total)
    async with (
        bounded_session(timeout=timeout) as http,
        http.post(url, json=body, headers=headers) as response,
    ):
        return response.status, await read_body(response)


def _print_refusal(raw: bytes) -> ExitCode:
    try:
        problem = msgspec.json.decode(raw, type=_Problem)
    except msgspec.DecodeError:
        problem = _Problem(
            "Unexpected response", "check that the address is the one for callers"
        )
    sys.stderr.write(
        f"amaranthtally: {problem.title}: {problem.detail} ({problem.outcome})\n"
    )
    return ExitCode.UNKNOWN if problem.outcome == "unknown" else ExitCode.REFUSED


def _print_response(response: _Response) -> None:
    print_document(response.output)
    sys.stdout.write(f"request {response.request_id}\n")
    rows = [
        (s.name, s.endpoint, s.region, s.ms, s.queued_ms, s.attempts)
        for s in response.stages
    ]
    print_table(("STAGE", "ENDPOINT", "REGION", "MS", "QUEUED MS", "ATTEMPTS"), rows)
