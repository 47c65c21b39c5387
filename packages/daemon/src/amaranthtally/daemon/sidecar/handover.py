"""Hands the records of at-most-once calls from a stopping sidecar to its peers."""

import asyncio
from collections.abc import Iterable, Iterator
from contextlib import suppress

import msgspec
from result import Err

from amaranthtally.daemon.lifecycle import split_address
from amaranthtally.daemon.logs import get_logger
from amaranthtally.daemon.signatures import KeyRing
from amaranthtally.decoding import decode_msgpack
from amaranthtally.policy import Endpoint
from amaranthtally.policy.handover import Handover, rank_successors
from amaranthtally.settings import SettingsView, Tree
from amaranthtally.wire import WireError, connect_sidecar

__all__ = ["endpoints_of", "hand_over", "read_handover"]

COPY_COUNT = 2
CONNECT_TIMEOUT_S = 0.5
SEND_TIMEOUT_S = 2.0
HANDOVER_TIMEOUT_S = 5.0

log = get_logger()


async def hand_over(
    handovers: Iterable[Handover], sender: str, endpoints: list[Endpoint], keys: KeyRing
) -> None:
    """
    Send each set of records to two peers of the endpoint that it comes from.

    A peer that cannot be reached is replaced by the next in rank. The handover as a
    whole is limited in time, so that it does not hold up the shutdown. If no peer
    stores the records, repeats of the calls are answered with ``unknown``.
    """
    if not keys:
        log.warning("handover_skipped", cause="no handover_keys in the settings")
        return
    with suppress(TimeoutError):
        async with asyncio.timeout(HANDOVER_TIMEOUT_S):
            await asyncio.gather(
                *(
                    _hand_over_one(handover, sender, endpoints, keys)
                    for handover in handovers
                )
            )


async def _hand_over_one(
    handover: Handover, sender: str, endpoints: list[Endpoint], keys: KeyRing
) -> None:
    ranked = rank_successors(handover.incarnation, handover.endpoint, endpoints)
    peers = iter([peer for peer in ranked if peer.id != sender])
    # The copies are sent concurrently, so that a frozen peer delays only one of them.
    stored = await asyncio.gather(
        *(_send_to_first_available(handover, peers, keys) for _ in range(COPY_COUNT))
    )
    log.info(
        "records_handed_over",
        endpoint=handover.endpoint,
        calls=len(handover.calls),
        copies=sum(stored),
        final=handover.final,
    )


async def _send_to_first_available(
    handover: Handover, peers: Iterator[Endpoint], keys: KeyRing
) -> bool:
    for peer in peers:
        try:
            async with asyncio.timeout(SEND_TIMEOUT_S):
                if await _send(handover, peer, keys):
                    return True
        except TimeoutError:
            log.warning(
                "handover_failed", peer=peer.id, cause="no reply before the time-out"
            )
    return False


def read_handover(body: bytes, signature: bytes, keys: KeyRing) -> Handover | None:
    """Decode a peer's handover; return ``None`` if no configured key has signed it."""
    if not keys.accepts(body, signature):
        log.error("handover_refused", cause="invalid signature; compare handover_keys")
        return None
    decoded = decode_msgpack(body, Handover)
    if isinstance(decoded, Err):
        log.error("handover_refused", cause=str(decoded.err_value))
        return None
    return decoded.ok_value


def endpoints_of(tree: Tree) -> list[Endpoint]:
    """Return the registered endpoints."""
    return [
        Endpoint(
            id=name,
            pool=table["pool"],
            host=table["host"],
            region=table["region"],
            data_centre=table["data_centre"],
            address=table["address"],
        )
        for name, table in SettingsView(tree).endpoints.items()
    ]


async def _send(handover: Handover, peer: Endpoint, keys: KeyRing) -> bool:
    body = msgspec.msgpack.encode(handover)
    try:
        client = await connect_sidecar(*split_address(peer.address), CONNECT_TIMEOUT_S)
    except WireError as error:
        log.warning("handover_failed", peer=peer.id, cause=str(error))
        return False
    try:
        return await client.hand_over(body, keys.sign(body))
    except WireError as error:
        log.warning("handover_failed", peer=peer.id, cause=str(error))
        return False
    finally:
        client.close()
