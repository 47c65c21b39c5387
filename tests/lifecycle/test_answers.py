"""No answer is lost, doubled, or handed to another request."""

import asyncio

import pytest

from tests.lifecycle.support import (
    FakeSidecar,
    LateSidecar,
    MixingSidecar,
    RepeatingSidecar,
    SwappingSidecar,
    fake_deployment,
    log_lines,
    run_with_capnp,
    whole_text,
)
from tests.support import parse_events

CALLERS = 24


@pytest.mark.parametrize("misbehaving", [SwappingSidecar, RepeatingSidecar])
def test_a_foreign_answer_reaches_nobody(misbehaving):
    """
    A farmer reads the assessment of another farmer's combine. A sidecar swaps the
    answers of two calls on one connection, or gives an old answer again; the
    entry took any reply for the call that it had in mind.
    """

    async def scenario():
        bad, good = misbehaving("fake-1"), FakeSidecar("fake-2")
        async with fake_deployment(bad, good) as deployment:
            answers = await asyncio.gather(
                *(deployment.call("echo", f"claim {n}") for n in range(CALLERS))
            )
            for number, answer in enumerate(answers):
                document = await answer.json()
                assert answer.status == 200, document
                assert document["output"] == {"echo": f"claim {number}"}
            assert len(bad.calls) > 1
            refused = log_lines(deployment.entries[0], "attempt_ended")
            assert any("belongs to another call" in line for line in refused)

    run_with_capnp(scenario())


def test_late_answers_never_reach_the_next_request():
    """
    A dispatcher's second question is answered with the first one's words. The
    first question's answer came after its deadline, on the same connection, while
    the second was waiting.
    """

    async def scenario():
        late = LateSidecar("fake-1")
        async with fake_deployment(late, deadline_ms=400) as deployment:
            first = await asyncio.gather(
                *(deployment.call("echo", f"first {n}") for n in range(CALLERS))
            )
            asked = frozenset(late.asked_first)
            assert asked
            for number, answer in enumerate(first):
                await assert_late_or_not_run(answer, f"first {number}", asked)
            second = await asyncio.gather(
                *(
                    deployment.call("echo", f"second {n}", deadline_ms=4000)
                    for n in range(4)
                ),
            )
            assert late.answered_late == len(asked)
            for number, answer in enumerate(second):
                document = await answer.json()
                assert answer.status == 200, document
                assert document["output"] == {"echo": f"second {number}"}

    run_with_capnp(scenario())


async def assert_late_or_not_run(answer, text, asked):
    """
    Assert that a question ended by its deadline, or truthfully before it was sent.

    On a busy host some questions come after the first deadlines have passed, and
    the entry refuses them on what it has learned.
    """
    document = await answer.json()
    if text in asked:
        assert answer.status == 504, document
    else:
        assert (answer.status, document["outcome"]) == (503, "not_run"), document


def test_mixed_streams_over_one_connection_stay_apart():
    """
    Two testers type at once and see tags of each other's bug. The sidecar writes
    chunks of one stream to the other's sink, twice and out of order; chunks bore
    no id, so the entry could not tell.
    """

    async def scenario():
        bad, good = MixingSidecar("fake-1"), FakeSidecar("fake-2")
        async with fake_deployment(bad, good, streams=True) as deployment:
            answers = await asyncio.gather(
                *(
                    deployment.call("echo", f"bug {n}", stream=True)
                    for n in range(CALLERS)
                )
            )
            for number, answer in enumerate(answers):
                events = parse_events(await answer.text())
                assert events[-1][0] == "done", events
                text = "".join(d["text"] for kind, d in events if kind == "chunk")
                assert text == whole_text(f"bug {number}")
                assert events[-1][1]["output"]["text"] == text
            assert len(bad.calls) > 1

    run_with_capnp(scenario())
