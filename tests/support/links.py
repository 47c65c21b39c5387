"""Sidecars behind relays, and the ways in which their links fail."""

from contextlib import AsyncExitStack, asynccontextmanager

from amaranthtally.standins.relay import Link, open_relay


@asynccontextmanager
async def relays_before(deployment, *pools):
    """Register the sidecars of some pools behind relays; yields them by endpoint."""
    async with AsyncExitStack() as stack:
        relays = {}
        firm = {}
        for pool in pools:
            for pair in deployment.pool(pool):
                relay = await stack.enter_async_context(open_relay(pair.address))
                relays[pair.id] = relay
                place = {**pair.registration(), "address": relay.address}
                firm[f"endpoint.{pair.id}"] = place
        change = await deployment.apply({"firm": firm})
        for number in range(len(deployment.entries)):
            await deployment.wait_revision(change["number"], number)
        yield relays


def cut(relays, fault):
    """Break links in one way."""
    for relay in relays:
        if fault == "reset":
            relay.reset()
        elif fault == "answers lost":
            relay.set_links(replies=Link.SWALLOW)
        elif fault == "half open":
            relay.set_links(Link.SWALLOW, Link.SWALLOW)
        else:
            relay.set_links(Link.HOLD, Link.HOLD)


def heal(relays, fault):
    """Let links forward again; what was lost on them stays lost."""
    for relay in relays:
        relay.set_links()
        if fault in ("answers lost", "half open"):
            relay.reset()
