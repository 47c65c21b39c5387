"""One call to the endpoint and what its end says."""

from dataclasses import dataclass

import aiohttp

from amaranthtally.daemon.sidecar.adapters import (
    Adapter,
    EndpointCall,
    EndpointError,
    ModelMissingError,
)
from amaranthtally.wire import StageCall, Status

__all__ = ["CallEnd", "call_endpoint"]


@dataclass(frozen=True, slots=True)
class CallEnd:
    """
    How a call ended.

    ``overloaded`` where the endpoint may have too much to do, ``permanent`` where
    another attempt would meet the same error, ``missing`` where it lacks the model.
    """

    status: Status
    output: bytes = b""
    reason: str = ""
    permanent: bool = False
    overloaded: bool = False
    missing: bool = False


async def call_endpoint(adapter: Adapter, target: EndpointCall) -> CallEnd:
    """Call the endpoint; every error of its own or of the network is an end."""
    try:
        return CallEnd(Status.FINISHED, await adapter(target))
    except ModelMissingError as error:
        return CallEnd(Status.NOT_RUN, reason=str(error), missing=True)
    except EndpointError as error:
        return CallEnd(
            Status.FAILED,
            reason=str(error),
            permanent=error.permanent,
            overloaded=not error.permanent,
        )
    except (aiohttp.ClientError, TimeoutError) as error:
        return _broken(target.call, error)


def _broken(call: StageCall, error: Exception) -> CallEnd:
    if isinstance(error, aiohttp.ClientConnectorError):
        return CallEnd(Status.NOT_RUN, reason="endpoint unreachable", overloaded=True)
    status = Status.FAILED if call.repeatable else Status.UNKNOWN
    return CallEnd(status, reason=type(error).__name__, overloaded=True)
