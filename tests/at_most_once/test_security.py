"""Keys and tokens of one client account are nothing to another."""

import asyncio

from amaranthtally.standins.deployment import TOKEN_KEY
from tests.at_most_once.support import (
    ORDER,
    PIPELINE,
    effects,
    effects_deployment,
    token,
    wait_for,
)
from tests.support import run_async

NEW_KEY = "loopback-token-key-0002"
TTL_S = 0.2


async def refused(deployment, key, account=0, entry=0):
    """Send an order that must be refused; return its status and outcome."""
    response = await deployment.call(
        PIPELINE, ORDER, entry=entry, account=account, key=key
    )
    document = await response.json()
    return response.status, document["outcome"]


def test_accounts_with_one_key_have_an_order_each():
    """
    Two farms number their orders alike. The second farm would get the first's
    answer, and no truck, if a key were not its account's own.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            outputs = set()
            for account in (0, 1, 0, 1):
                response = await deployment.call(
                    PIPELINE, ORDER, account=account, key="order-1"
                )
                assert response.status == 200
                outputs.add(str((await response.json())["output"]))
            assert len(outputs) == 2
            assert len(await effects(deployment)) == 2

    run_async(scenario())


def test_forged_and_foreign_tokens_are_refused_alike():
    """
    Someone sends a token of another account, or changes one. Where the answers
    differed, they would tell which tokens exist.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            own = await token(deployment)
            body, _, mac = own.removeprefix("att1.").rpartition(".")
            flipped = "A" if body[20] != "A" else "B"
            forged = [
                f"att1.{body[:20]}{flipped}{body[21:]}.{mac}",
                f"att1.{body}.{mac[:-4]}AAAA",
                f"att1.{body}.",
                f"att1.{body}",
                "att1.",
                "att1.%%%.%%%",
            ]
            answers = {await refused(deployment, key) for key in forged}
            answers.add(await refused(deployment, own, account=1))
            assert answers == {(403, "unknown")}
            assert await effects(deployment) == []
            served = await deployment.call(PIPELINE, ORDER, key=own)
            assert served.status == 200

    run_async(scenario())


def test_token_keys_are_rotated_without_a_refusal():
    """
    Operators replace the signing key on one entry after the other. A token signed
    by either key must be taken by every entry in between.
    """

    async def scenario():
        async with effects_deployment(entries=1) as deployment:
            for keys in ([TOKEN_KEY, NEW_KEY], [NEW_KEY, TOKEN_KEY], [NEW_KEY]):
                await deployment.start_entry(token_keys=keys)
            for number in range(4):
                await deployment.wait_ready(number)
                await deployment.wait_revision(1, number)
            old, new = await token(deployment, 1), await token(deployment, 2)
            outputs = set()
            for key, entries in ((old, (0, 1, 2)), (new, (1, 2, 3))):
                for entry in entries:
                    served = await deployment.call(
                        PIPELINE, ORDER, entry=entry, key=key
                    )
                    assert served.status == 200
                    outputs.add(str((await served.json())["output"]))
            assert len(outputs) == 2
            assert await refused(deployment, old, entry=3) == (403, "unknown")
            assert await refused(deployment, new, entry=0) == (403, "unknown")
            assert len(await effects(deployment)) == 2

    run_async(scenario())


def test_a_token_older_than_the_records_is_refused():
    """
    A tool finds an old token and sends it again. The sidecar may have forgotten
    that it ran: it refuses what is older than its records, run or not.
    """

    async def scenario():
        overrides = {"record_ttl": TTL_S}
        async with effects_deployment(sidecar_overrides=overrides) as deployment:
            used, unused = await token(deployment), await token(deployment)
            served = await deployment.call(PIPELINE, ORDER, key=used)
            in_time = served.status == 200
            await asyncio.sleep(2 * TTL_S)
            assert (await refused(deployment, unused))[1] == "unknown"
            again = await deployment.call(PIPELINE, ORDER, entry=1, key=used)
            assert again.status == (200 if in_time else 502)
            assert len(await effects(deployment)) == int(in_time)

    run_async(scenario())


def test_logs_hold_no_key_token_or_body():
    """
    An operator shares a log to have a fault looked at, and with it a caller's key
    and the address of a farm. No line of any process may hold either.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            own = await token(deployment)
            for key in ("order-4711-0815", own, own + "x"):
                await deployment.call(PIPELINE, ORDER, key=key)
            await deployment.call(PIPELINE, {"to": "other"}, key="order-4711-0815")
            await deployment.set_knobs(deployment.platform, outage=True)
            await deployment.call(PIPELINE, ORDER, key="order-4711-0816")
            secrets = ["order-4711", own, own[5:40], ORDER["note"], TOKEN_KEY]
            secrets += [account.key for account in deployment.plan.accounts]
            processes = [*deployment.entries]
            processes += [pair.sidecar for pair in deployment.endpoints.values()]

            async def logged():
                lines = [line for p in deployment.entries for line in p.lines]
                return any("claim_failed" in line for line in lines)

            await wait_for(logged)
            for process in processes:
                text = "\n".join(process.lines)
                assert "event=" in text
                assert not [secret for secret in secrets if secret in text]

    run_async(scenario())
