"""Calls to an entry's administration API."""

import asyncio
from dataclasses import dataclass
from typing import Annotated, TypeVar

import aiohttp
import msgspec
from cyclopts import Parameter
from result import Err, Ok, Result

from amaranthtally.operator.exit_codes import ExitCode
from amaranthtally.platform import bounded_session, read_body
from amaranthtally.settings.documents import AdminProblem

__all__ = ["Connection", "Failure", "Target"]

API_PREFIX = "/admin/v1"
# Generous, because a change takes up to three calls to a platform that may be slow.
CALL_TIMEOUT_S = 30.0
EXIT_CODE_BY_STATUS = {
    409: ExitCode.CONFLICT,
    503: ExitCode.UNREACHABLE,
    504: ExitCode.UNKNOWN,
}

ResponseT = TypeVar("ResponseT")


@Parameter(name="*")
@dataclass(frozen=True)
class Target:
    """The entry whose administration API is called, and the format of the output."""

    admin_url: Annotated[str, Parameter(env_var="AMARANTHTALLY_ADMIN_URL")]
    "Address of an entry's administration API, as http://IP:PORT."
    admin_key: Annotated[str, Parameter(env_var="AMARANTHTALLY_ADMIN_KEY")]
    "Administration key; prefer the environment variable to the command line."
    json: Annotated[bool, Parameter(name="--json", negative="")] = False
    "Print JSON for scripts."


@dataclass(frozen=True, slots=True)
class Failure:
    """
    Why a call gave no result.

    ``may_have_applied``: the request may have reached the entry and been carried out.
    """

    code: ExitCode
    detail: str
    problem: AdminProblem | None = None
    may_have_applied: bool = False

    def __str__(self) -> str:
        return self.detail


class Connection:
    """Makes synchronous calls; errors are returned as ``Err``."""

    def __init__(self, target: Target) -> None:
        self._url = target.admin_url.rstrip("/") + API_PREFIX
        self._headers = {"Authorization": f"Bearer {target.admin_key}"}

    def read(
        self, path: str, response_type: type[ResponseT], **query: str
    ) -> Result[ResponseT, Failure]:
        """Get a document; empty query parameters are left out."""
        params = {name: value for name, value in query.items() if value}
        return asyncio.run(self._call("GET", path, response_type, params, None))

    def send(
        self, path: str, response_type: type[ResponseT], body: msgspec.Struct
    ) -> Result[ResponseT, Failure]:
        """Post a document."""
        return asyncio.run(self._call("POST", path, response_type, {}, body))

    async def _call(
        self,
        method: str,
        path: str,
        response_type: type[ResponseT],
        params: dict[str, str],
        body: msgspec.Struct | None,
    ) -> Result[ResponseT, Failure]:
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        data = None if body is None else msgspec.json.encode(body)
        try:
            async with (
                bounded_session(headers=self._headers, timeout=timeout) as http,
                http.request(
                    method, f"{self._url}/{path}", params=params, data=data
                ) as response,
            ):
                raw = await read_body(response)
        except aiohttp.InvalidURL:
            return Err(
                _unreachable(
                    f"{self._url} is not a valid URL; write it as http://IP:PORT", False
                )
            )
        except (aiohttp.ClientError, TimeoutError) as error:
            may_have_applied = not isinstance(error, aiohttp.ClientConnectorError)
            cause = str(error) or type(error).__name__
            return Err(
                _unreachable(
                    f"no response from {self._url} ({cause})", may_have_applied
                )
            )
        return _decode(response.status, raw, response_type)


def _unreachable(detail: str, may_have_applied: bool) -> Failure:
    remedy = "check --admin-url or AMARANTHTALLY_ADMIN_URL, or use another entry"
    return Failure(
        ExitCode.UNREACHABLE, f"{detail}; {remedy}", may_have_applied=may_have_applied
    )


def _decode(
    status: int, raw: bytes, response_type: type[ResponseT]
) -> Result[ResponseT, Failure]:
    try:
        if status < 400:
            return Ok(msgspec.json.decode(raw, type=response_type))
        problem = msgspec.json.decode(raw, type=AdminProblem)
    except msgspec.DecodeError:
        detail = (
            f"status {status} without a JSON document; "
            "check that the address is an entry's administration port"
        )
        return Err(Failure(ExitCode.UNREACHABLE, detail))
    code = EXIT_CODE_BY_STATUS.get(status, ExitCode.REFUSED)
    detail = f"{problem.title}: {problem.detail}"
    return Err(Failure(code, detail, problem, may_have_applied=status == 504))
