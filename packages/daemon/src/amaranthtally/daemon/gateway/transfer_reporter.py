"""Logs and counts the calls to the store and the bytes of its responses."""

from amaranthtally.daemon.gateway.metrics import GatewayMetrics
from amaranthtally.daemon.logs import get_logger
from amaranthtally.platform import StoreTransfer

__all__ = ["TransferReporter"]

# Responses of at least this size are logged, in bytes. A response with changed records
# has a hundredth of this size; such responses are too frequent to log each one.
LOGGED_BYTES = 65_536
MS_PER_S = 1000.0

log = get_logger()


class TransferReporter:
    """Counts every call to the store; logs large responses, also incomplete ones."""

    def __init__(self, metrics: GatewayMetrics) -> None:
        self._metrics = metrics

    def record(self, transfer: StoreTransfer) -> None:
        """Record a call that has ended."""
        self._metrics.store_called(transfer)
        if transfer.received_bytes < LOGGED_BYTES:
            return
        log.info(
            "store_transfer",
            call=transfer.call,
            outcome=transfer.outcome,
            received_bytes=transfer.received_bytes,
            body_ms=round(transfer.body_s * MS_PER_S),
            ms=round(transfer.total_s * MS_PER_S),
        )
