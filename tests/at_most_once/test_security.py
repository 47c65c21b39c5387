"""Isolation of client accounts, token signatures, and secrets in logs."""

import asyncio

from amaranthtally.standins.deployment import TOKEN_KEY
from tests.at_most_once.support import (
    ORDER,
    PIPELINE,
    effects,
    effects_deployment,
    new_token,
    wait_for,
)
from tests.support import run_async

NEW_KEY = "loopback-token-key-0002"
TTL_S = 0.2


async def send_rejected_order(deployment, key, account=0, entry=0):
    """Send an order that must be rejected; return its status and outcome."""
    response = await deployment.call(
        PIPELINE, ORDER, entry=entry, account=account, key=key
    )
    document = await response.json()
    return response.status, document["outcome"]


def test_accounts_with_one_key_have_an_order_each():
    """
    Two accounts use the same key. If keys were not scoped by account, the second
    account would get the first one's result, and its call would not run.
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
    Tokens of other accounts and modified tokens must get the same response. Different
    responses would reveal which tokens exist.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            own_token = await new_token(deployment)
            body, _, mac = own_token.removeprefix("att1.").rpartition(".")
            flipped = "A" if body[20] != "A" else "B"
            forged = [
                f"att1.{body[:20]}{flipped}{body[21:]}.{mac}",
                f"att1.{body}.{mac[:-4]}AAAA",
                f"att1.{body}.",
                f"att1.{body}",
                "att1.",
                "att1.%%%.%%%",
            ]
            answers = {await send_rejected_order(deployment, key) for key in forged}
            answers.add(await send_rejected_order(deployment, own_token, account=1))
            assert answers == {(403, "unknown")}
            assert await effects(deployment) == []
            served = await deployment.call(PIPELINE, ORDER, key=own_token)
            assert served.status == 200

    run_async(scenario())


def test_token_keys_are_rotated_without_a_refusal():
    """
    Operators replace the signing key on one entry after the other. During the rotation
    every entry must accept tokens signed with either key.
    """

    async def scenario():
        async with effects_deployment(entries=1) as deployment:
            for keys in ([TOKEN_KEY, NEW_KEY], [NEW_KEY, TOKEN_KEY], [NEW_KEY]):
                await deployment.start_entry(token_keys=keys)
            for number in range(4):
                await deployment.wait_ready(number)
                await deployment.wait_revision(1, number)
            old_token, new_key_token = (
                await new_token(deployment, 1),
                await new_token(deployment, 2),
            )
            outputs = set()
            for key, entries in ((old_token, (0, 1, 2)), (new_key_token, (1, 2, 3))):
                for entry in entries:
                    served = await deployment.call(
                        PIPELINE, ORDER, entry=entry, key=key
                    )
                    assert served.status == 200
                    outputs.add(str((await served.json())["output"]))
            assert len(outputs) == 2
            assert await send_rejected_order(deployment, old_token, entry=3) == (
                403,
                "unknown",
            )
            assert await send_rejected_order(deployment, new_key_token, entry=0) == (
                403,
                "unknown",
            )
            assert len(await effects(deployment)) == 2

    run_async(scenario())


def test_a_token_older_than_the_records_is_refused():
    """
    Guards against a second effect of an old token, whose record may have expired. The
    sidecar must reject every token that is older than its records can be.
    """

    async def scenario():
        overrides = {"record_ttl": TTL_S}
        async with effects_deployment(sidecar_overrides=overrides) as deployment:
            used, unused = await new_token(deployment), await new_token(deployment)
            served = await deployment.call(PIPELINE, ORDER, key=used)
            in_time = served.status == 200
            await asyncio.sleep(2 * TTL_S)
            assert (await send_rejected_order(deployment, unused))[1] == "unknown"
            again = await deployment.call(PIPELINE, ORDER, entry=1, key=used)
            assert again.status == (200 if in_time else 502)
            assert len(await effects(deployment)) == int(in_time)

    run_async(scenario())


def test_logs_hold_no_key_token_or_body():
    """
    Guards against secrets in shared logs: no process may log a key, a token or the
    body of a request.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            own_token = await new_token(deployment)
            for key in ("order-4711-0815", own_token, own_token + "x"):
                await deployment.call(PIPELINE, ORDER, key=key)
            await deployment.call(PIPELINE, {"to": "other"}, key="order-4711-0815")
            await deployment.set_knobs(deployment.platform, outage=True)
            await deployment.call(PIPELINE, ORDER, key="order-4711-0816")
            secrets = [
                "order-4711",
                own_token,
                own_token[5:40],
                ORDER["note"],
                TOKEN_KEY,
            ]
            secrets += [account.key for account in deployment.plan.accounts]
            processes = [*deployment.entries]
            processes += [pair.sidecar for pair in deployment.endpoints.values()]

            async def failure_was_logged():
                lines = [line for p in deployment.entries for line in p.lines]
                return any("claim_failed" in line for line in lines)

            await wait_for(failure_was_logged)
            for process in processes:
                text = "\n".join(process.lines)
                assert "event=" in text
                assert not [secret for secret in secrets if secret in text]

    run_async(scenario())
