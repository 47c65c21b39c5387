"""How old a gateway's state is, and that its age never shrinks on the way."""

from math import inf

import pytest
from hypothesis import given, settings, strategies as st

from amaranthtally.daemon.gateway.state_freshness import (
    AGREEMENT_TTL_S,
    CHECK_INTERVAL_S,
    StateFreshness,
    StateKind,
)
from amaranthtally.daemon.gateway.state_lag import (
    REPORT_INTERVAL_S,
    LagReporter,
    RecordsLag,
)
from amaranthtally.wire.gateway_codec import (
    Versions,
    gateway_schema,
    read_versions,
    write_versions,
)

LIMIT_S = 10.0
START = 100.0
ROUNDING_S = 1e-6
RECORDS = StateKind.RECORDS


class Node:
    """A gateway's freshness, the version that it holds and its clock."""

    def __init__(self):
        self.now = START
        self.held = 5
        self.freshness = StateFreshness(lambda kind: self.held, lambda: self.now)

    def run_until(self, now):
        while self.now < now:
            self.now = min(now, self.now + CHECK_INTERVAL_S)
            self.freshness.now()

    @property
    def is_trusted(self):
        return self.freshness.is_trusted(RECORDS, LIMIT_S)

    @property
    def versions(self):
        return self.freshness.add_ages(Versions(self.held, self.held))


def test_an_age_counts_from_when_the_call_was_sent():
    node = Node()
    assert node.freshness.age_s(RECORDS) == inf
    node.run_until(102.5)
    node.freshness.confirm(RECORDS, 100.0)
    assert node.freshness.age_s(RECORDS) == 2.5
    node.freshness.confirm(RECORDS, 99.0)
    assert node.freshness.age_s(RECORDS) == 2.5
    node.run_until(100.0 + LIMIT_S)
    assert node.is_trusted
    node.run_until(100.5 + LIMIT_S)
    assert not node.is_trusted


def test_evidence_for_a_newer_version_counts_once_it_is_held():
    """Guards against old records that count as fresh, as a watcher has newer ones."""
    node = Node()
    node.freshness.confirm(RECORDS, 100.0, 1.0, version=6)
    assert node.freshness.age_s(RECORDS) == inf
    node.held = 6
    assert node.freshness.age_s(RECORDS) == 1.0
    # The store has gone back, and the records were discarded.
    node.held = 0
    assert node.freshness.age_s(RECORDS) == inf
    node.freshness.confirm(RECORDS, 99.5)
    assert node.freshness.confirmed_version(RECORDS) == 0
    assert node.freshness.age_s(RECORDS) == 0.5


def test_nothing_is_trusted_after_a_standstill_until_it_is_confirmed_again():
    """Guards against decisions on what was known before a process stood still."""
    node, resumed = Node(), []
    node.freshness.notify_resumed(lambda: resumed.append(node.now))
    node.freshness.confirm(RECORDS, 100.0)
    node.now = 101.5
    assert not node.is_trusted
    assert node.versions.records_age_s == inf
    # It answers a call from before.
    node.freshness.confirm(RECORDS, 100.2)
    assert not node.is_trusted
    node.freshness.confirm(RECORDS, node.freshness.now())
    assert node.is_trusted
    assert resumed == [101.5]


def test_a_peer_that_stood_still_itself_agrees_to_nothing():
    """Guards against gateways that trust each other as all of them stood still."""
    node, peer = Node(), Node()
    for each in (node, peer):
        each.freshness.confirm_versions(Versions(5, 5, 0.0, 1.0, 1.0), 100.0)
        assert each.freshness.peers_agree
        each.now = 105.0
    node.freshness.confirm_versions(peer.versions, node.freshness.now())
    assert not node.is_trusted
    assert not node.freshness.peers_agree


@pytest.mark.parametrize(
    ("answering", "silent", "agree"),
    [(1, 0, True), (1, 1, True), (1, 2, False), (2, 3, False), (3, 3, True)],
)
def test_peers_agree_if_they_are_most_of_those_asked(answering, silent, agree):
    """Guards against 404 for good by gateways cut off from the store and the others."""
    node = Node()
    for number in range(answering + silent):
        if number < answering:
            told = Versions(5, 5, 0.0, 86_400.0, inf)
            node.freshness.confirm_versions(told, 100.0, f"peer-{number}")
        else:
            node.freshness.note_unanswered(f"peer-{number}", 100.0)
    assert node.freshness.peers_agree == agree


def test_a_watcher_that_tells_no_age_is_trusted_as_before():
    """Guards against refused callers while gateways are upgraded one by one."""
    node = Node()
    node.freshness.note_older_watcher(100.0)
    assert node.is_trusted
    assert node.freshness.age_s(RECORDS) == inf
    node.run_until(100.5 + AGREEMENT_TTL_S)
    assert not node.is_trusted


@pytest.mark.parametrize("age_s", [0.0, 0.0000004, 2.5, 86_400.0])
def test_an_age_is_not_rounded_down_on_its_way(age_s):
    message = gateway_schema.Versions.new_message()
    write_versions(message, Versions(1, 2, 0.0, age_s, inf))
    read = read_versions(message)
    assert age_s <= read.configuration_age_s <= age_s + 2 * ROUNDING_S
    # Gateways of an older version send none.
    assert read_versions(gateway_schema.Versions.new_message()) == Versions()


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["write", "ask", "ask", "deliver", "deliver"]),
        st.integers(0, 2),
        st.integers(0, 2),
        st.booleans(),
    ),
    max_size=40,
)


@settings(max_examples=200, deadline=None)
@given(STEPS)
def test_an_age_never_gets_younger_along_a_chain(steps):
    """Guards against old state that counts as fresh once it was passed on."""
    nodes = [Node() for _ in range(3)]
    written_at, answers = [0.0] * 6, []

    def wait(seconds):
        for node in nodes:
            node.run_until(node.now + seconds)

    for step, one, other, takes_changes in steps:
        wait(0.1)
        if step == "write":
            written_at.append(nodes[0].now)
        elif step == "ask":
            sent_at = nodes[one].now
            wait(0.3)
            # Who asks itself asks the store.
            newest = len(written_at) - 1
            from_store = Versions(newest, newest, 0.0, 0.0, 0.0)
            answer = from_store if one == other else nodes[other].versions
            answers.append((nodes[one], sent_at, answer))
        elif answers:
            # Answers arrive in any order.
            asker, sent_at, answer = answers.pop((3 * one + other) % len(answers))
            if takes_changes:
                asker.held = max(asker.held, answer.records)
            asker.freshness.confirm_versions(answer, sent_at)
        for node in nodes:
            as_of = node.now - node.freshness.age_s(RECORDS)
            assert all(at >= as_of - ROUNDING_S for at in written_at[node.held + 1 :])


def test_records_that_are_behind_are_reported_once():
    """Guards against a lag that nobody sees, and against a flood of lines."""
    node = Node()
    lag = RecordsLag(lambda: node.held, lambda: node.now)
    reporter = LagReporter({"records": lambda: lag.behind_s}, lambda: node.now)

    def reported_after(seconds):
        node.now += seconds
        reporter.check()
        return bool(reporter._reported)

    lag.note_version(6)
    lag.note_version(9)
    assert reported_after(3.0)
    node.held = 6
    # What is missing now was heard of later.
    assert lag.behind_s == 0.0
    node.held = 9
    assert not reported_after(0.0)
    lag.note_version(10)
    assert not reported_after(3.0)
    assert reported_after(REPORT_INTERVAL_S)
