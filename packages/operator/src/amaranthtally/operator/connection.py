"""Calls to an entry's administration API."""

import asyncio
from dataclasses import dataclass
from typing import Annotated, TypeVar

import aiohttp
import msgspec
from cyclopts import Parameter
from result import Err, Ok, Result

from amaranthtally.operator.exit_codes import ExitCode
from amaranthtally.settings.documents import AdminProblem

__all__ = ["Connection", "Failure", "Target"]

PREFIX = "/admin/v1"
# The platform may be slow: a change takes up to three calls to it.
CALL_TIMEOUT_S = 30.0
EXIT_CODES = {
    409: ExitCode.CONFLICT,
    503: ExitCode.UNREACHABLE,
    504: ExitCode.UNKNOWN,
}

AnswerT = TypeVar("AnswerT")


@Parameter(name="*")
@dataclass(frozen=True)
class Target:
    """Which entry to ask, and how to print what it says."""

    admin_url: Annotated[str, Parameter(env_var="AMARANTHTALLY_ADMIN_URL")]
    "Address of an entry's administration API, as http://IP:PORT."
    admin_key: Annotated[str, Parameter(env_var="AMARANTHTALLY_ADMIN_KEY")]
    "Administration key; better given by the environment than here."
    json: Annotated[bool, Parameter(name="--json", negative="")] = False
    "Print JSON for scripts."


@dataclass(frozen=True, slots=True)
class Failure:
    """Why a call gave no result; ``sent`` tells that it may have had its effect."""

    code: ExitCode
    detail: str
    problem: AdminProblem | None = None
    sent: bool = False

    def __str__(self) -> str:
        return self.detail


class Connection:
    """Synchronous calls; errors come back as ``Err``."""

    def __init__(self, target: Target) -> None:
        self._url = target.admin_url.rstrip("/") + PREFIX
        self._headers = {"Authorization": f"Bearer {target.admin_key}"}

    def read(
        self, path: str, answer: type[AnswerT], **query: str
    ) -> Result[AnswerT, Failure]:
        """Read a document; parameters that are empty are left out."""
        params = {name: value for name, value in query.items() if value}
        return asyncio.run(self._call("GET", path, answer, params, None))

    def send(
        self, path: str, answer: type[AnswerT], body: msgspec.Struct
    ) -> Result[AnswerT, Failure]:
        """Post a document."""
        return asyncio.run(self._call("POST", path, answer, {}, body))

    async def _call(
        self,
        method: str,
        path: str,
        answer: type[AnswerT],
        params: dict[str, str],
        body: msgspec.Struct | None,
    ) -> Result[AnswerT, Failure]:
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        data = None if body is None else msgspec.json.encode(body)
        try:
            async with (
                aiohttp.ClientSession(headers=self._headers, timeout=timeout) as http,
                http.request(
                    method, f"{self._url}/{path}", params=params, data=data
                ) as response,
            ):
                raw = await response.read()
        except aiohttp.InvalidURL:
            return Err(_unreachable(f"{self._url}: write http://IP:PORT", False))
        except (aiohttp.ClientError, TimeoutError) as error:
            sent = not isinstance(error, aiohttp.ClientConnectorError)
            cause = str(error) or type(error).__name__
            return Err(_unreachable(f"{self._url} does not answer ({cause})", sent))
        return _decode(response.status, raw, answer)


def _unreachable(detail: str, sent: bool) -> Failure:
    remedy = "check --admin-url or AMARANTHTALLY_ADMIN_URL, or ask another entry"
    return Failure(ExitCode.UNREACHABLE, f"{detail}; {remedy}", sent=sent)


def _decode(status: int, raw: bytes, answer: type[AnswerT]) -> Result[AnswerT, Failure]:
    try:
        if status < 400:
            return Ok(msgspec.json.decode(raw, type=answer))
        problem = msgspec.json.decode(raw, type=AdminProblem)
    except msgspec.DecodeError:
        detail = f"status {status} without a document; is this an entry's admin port?"
        return Err(Failure(ExitCode.UNREACHABLE, detail))
    code = EXIT_CODES.get(status, ExitCode.REFUSED)
    detail = f"{problem.title}: {problem.detail}"
    return Err(Failure(code, detail, problem, sent=status == 504))
