"""Calls the endpoint and maps every outcome to a call result."""

from dataclasses import dataclass

import aiohttp

from amaranthtally.daemon.sidecar.adapters import (
    Adapter,
    EndpointCall,
    EndpointError,
    ModelMissingError,
)
from amaranthtally.policy import CallEnd, proof_of_not_run
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
        status = _status_of(target.call, CallEnd(is_own=True, states_not_run=True))
        return CallResult(status, reason=str(error), model_missing=True)
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
    was_sent = not isinstance(error, aiohttp.ClientConnectorError)
    reason = type(error).__name__ if was_sent else "endpoint unreachable"
    status = _status_of(call, CallEnd(was_sent=was_sent))
    return CallResult(status, reason=reason, overloaded=True)


def _status_of(call: StageCall, end: CallEnd) -> Status:
    """Return the status of a call that did not finish."""
    if proof_of_not_run(end) is not None:
        return Status.NOT_RUN
    return Status.FAILED if call.repeatable else Status.UNKNOWN
