"""What the store's answers cost: lines and counts of transfers."""

from amaranthtally.daemon.gateway.metrics import GatewayMetrics
from amaranthtally.daemon.logs import get_logger
from amaranthtally.platform import StoreTransfer

__all__ = ["StoreTransfers"]

# Answers of this size have a line of their own, in bytes: changes of records are a
# hundredth of it, and too many for a line each.
LOGGED_BYTES = 65_536
MS_PER_S = 1000.0

log = get_logger()


class StoreTransfers:
    """Counts every call at the store; tells of large answers, and of those cut."""

    def __init__(self, metrics: GatewayMetrics) -> None:
        self._metrics = metrics

    def ended(self, transfer: StoreTransfer) -> None:
        """Hear of a call that has ended."""
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
