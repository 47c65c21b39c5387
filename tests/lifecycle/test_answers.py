"""No reply is lost, duplicated, or given to another request."""

import asyncio

import pytest

from tests.lifecycle.support import (
    FakeSidecar,
    LateSidecar,
    MixingSidecar,
    RepeatingSidecar,
    SwappingSidecar,
    complete_text,
    fake_deployment,
    log_lines,
    run_with_capnp,
)
from tests.support import parse_events

CALLERS = 24


@pytest.mark.parametrize("faulty_sidecar", [SwappingSidecar, RepeatingSidecar])
def test_a_reply_to_another_call_is_rejected(faulty_sidecar):
    """
    A caller would get another caller's response if the entry accepted any reply as the
    reply to the current call: the sidecar swaps the replies of two calls on one
    connection, or repeats an old reply.
    """

    async def scenario():
        faulty, correct = faulty_sidecar("fake-1"), FakeSidecar("fake-2")
        async with fake_deployment(faulty, correct) as deployment:
            responses = await asyncio.gather(
                *(deployment.call("echo", f"claim {n}") for n in range(CALLERS))
            )
            for number, response in enumerate(responses):
                document = await response.json()
                assert response.status == 200, document
                assert document["output"] == {"echo": f"claim {number}"}
            assert len(faulty.calls) > 1
            rejected = log_lines(deployment.entries[0], "attempt_ended")
            assert any("belongs to another call" in line for line in rejected)

    run_with_capnp(scenario())


def test_late_replies_never_reach_the_next_request():
    """
    A request would get the response of an earlier one: the reply to the earlier call
    arrives after its deadline, on the same connection, while the later call waits.
    """

    async def scenario():
        late = LateSidecar("fake-1")
        async with fake_deployment(late, deadline_ms=400) as deployment:
            first = await asyncio.gather(
                *(deployment.call("echo", f"first {n}") for n in range(CALLERS))
            )
            sent_inputs = frozenset(late.first_inputs)
            assert sent_inputs
            for number, response in enumerate(first):
                await assert_expired_or_not_run(
                    response, f"first {number}", sent_inputs
                )
            second = await asyncio.gather(
                *(
                    deployment.call("echo", f"second {n}", deadline_ms=4000)
                    for n in range(4)
                ),
            )
            assert late.late_replies == len(sent_inputs)
            for number, response in enumerate(second):
                document = await response.json()
                assert response.status == 200, document
                assert document["output"] == {"echo": f"second {number}"}

    run_with_capnp(scenario())


async def assert_expired_or_not_run(response, text, sent_inputs):
    """
    Assert that a request ended at its deadline, or was refused as not run.

    On a busy host some requests arrive after the first deadlines have passed; the
    entry then knows that the endpoint is slow, and refuses them without a call.
    """
    document = await response.json()
    if text in sent_inputs:
        assert response.status == 504, document
    else:
        assert (response.status, document["outcome"]) == (503, "not_run"), document


def test_mixed_up_streams_on_one_connection_stay_separate():
    """
    Callers would receive chunks of each other's streams: the sidecar sends chunks of
    one stream to another one, repeated and out of order. Without a call id in the
    chunks, the entry could not reject them.
    """

    async def scenario():
        faulty, correct = MixingSidecar("fake-1"), FakeSidecar("fake-2")
        async with fake_deployment(faulty, correct, streams=True) as deployment:
            responses = await asyncio.gather(
                *(
                    deployment.call("echo", f"bug {n}", stream=True)
                    for n in range(CALLERS)
                )
            )
            for number, response in enumerate(responses):
                events = parse_events(await response.text())
                assert events[-1][0] == "done", events
                text = "".join(d["text"] for kind, d in events if kind == "chunk")
                assert text == complete_text(f"bug {number}")
                assert events[-1][1]["output"]["text"] == text
            assert len(faulty.calls) > 1

    run_with_capnp(scenario())
