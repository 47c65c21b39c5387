"""Hands a stopping sidecar's records to its peers."""

import asyncio
from collections.abc import Iterable, Iterator
from contextlib import suppress

import msgspec

from amaranthtally.daemon.lifecycle import split_address
from amaranthtally.daemon.logs import get_logger
from amaranthtally.daemon.signatures import KeyRing
from amaranthtally.policy import Endpoint
from amaranthtally.policy.handover import Handover, rank_successors
from amaranthtally.settings import SettingsView, Tree
from amaranthtally.wire import WireError, connect_sidecar

__all__ = ["endpoints_of", "hand_over", "read_handover"]

COPIES = 2
CONNECT_TIMEOUT_S = 0.5
SEND_TIMEOUT_S = 2.0
HANDOVER_TIMEOUT_S = 5.0

log = get_logger()


async def hand_over(
    handovers: Iterable[Handover], sender: str, endpoints: list[Endpoint], keys: KeyRing
) -> None:
    """
    Give each set of records to two peers of the endpoint that it comes from.

    A stop is not held up by peers that can't be reached: their turn goes to the
    next, and repeats hear ``unknown`` where none is left.
    """
    if not keys:
        log.warning("handover_skipped", cause="no handover_keys in the settings")
        return
    with suppress(TimeoutError):
        async with asyncio.timeout(HANDOVER_TIMEOUT_S):
            await asyncio.gather(
                *(_hand_over_one(one, sender, endpoints, keys) for one in handovers)
            )


async def _hand_over_one(
    handover: Handover, sender: str, endpoints: list[Endpoint], keys: KeyRing
) -> None:
    ranked = rank_successors(handover.incarnation, handover.endpoint, endpoints)
    peers = iter([peer for peer in ranked if peer.id != sender])
    # Two at a time: a frozen peer uses up its own turn, not that of the others.
    taken = await asyncio.gather(
        *(_send_to_next(handover, peers, keys) for _ in range(COPIES))
    )
    log.info(
        "records_handed_over",
        endpoint=handover.endpoint,
        calls=len(handover.calls),
        copies=sum(taken),
        final=handover.final,
    )


async def _send_to_next(
    handover: Handover, peers: Iterator[Endpoint], keys: KeyRing
) -> bool:
    for peer in peers:
        try:
            async with asyncio.timeout(SEND_TIMEOUT_S):
                if await _send(handover, peer, keys):
                    return True
        except TimeoutError:
            log.warning("handover_failed", peer=peer.id, cause="no answer in time")
    return False


def read_handover(body: bytes, signature: bytes, keys: KeyRing) -> Handover | None:
    """Return what a peer handed over; ``None`` where no key of ours signed it."""
    if not keys.accepts(body, signature):
        log.error("handover_refused", cause="its signature; compare handover_keys")
        return None
    return msgspec.msgpack.decode(body, type=Handover)


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
