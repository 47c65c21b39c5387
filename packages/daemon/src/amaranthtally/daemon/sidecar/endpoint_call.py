"""Calls the endpoint and maps every outcome to a call result."""

from dataclasses import dataclass

import aiohttp

from amaranthtally.daemon.sidecar.adapters import (
    Adapter,
    EndpointCall,
    EndpointError,
    ModelMissingError,
)
from amaranthtally.wire import StageCall, Status

__all__ = ["CallResult", "call_endpoint"]


@dataclass(frozen=True, slots=True)
class CallResult:
    """
    The result of a call.

    ``overloaded`` is true if the endpoint may be overloaded, ``permanent`` if a retry
    would meet the same error, ``model_missing`` if the engine lacks the call's model.
    """

    status: Status
    output: bytes = b""
    reason: str = ""
    permanent: bool = False
    overloaded: bool = False
    model_missing: bool = False


async def call_endpoint(adapter: Adapter, target: EndpointCall) -> CallResult:
    """Call the endpoint; endpoint and network errors become results."""
    try:
        return CallResult(Status.FINISHED, await adapter(target))
    except ModelMissingError as error:
        return CallResult(Status.NOT_RUN, reason=str(error), model_missing=True)
    except EndpointError as error:
        return CallResult(
            Status.FAILED,
            reason=str(error),
            permanent=error.permanent,
            overloaded=not error.permanent,
        )
    except (aiohttp.ClientError, TimeoutError) as error:
        return _connection_failed(target.call, error)


def _connection_failed(call: StageCall, error: Exception) -> CallResult:
    if isinstance(error, aiohttp.ClientConnectorError):
        return CallResult(
            Status.NOT_RUN, reason="endpoint unreachable", overloaded=True
        )
    status = Status.FAILED if call.repeatable else Status.UNKNOWN
    return CallResult(status, reason=type(error).__name__, overloaded=True)
