"""The ledger's decisions under any order of calls, copies and withdrawals."""

from dataclasses import dataclass

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    rule,
)

from amaranthtally.policy.at_most_once import (
    KEEP_MARGIN_S,
    CallLedger,
    CallState,
    CallVerdict,
)
from amaranthtally.policy.handover import HandedOverCall, Handover, ReceivedHandovers
from amaranthtally.wire import AtMostOnceTerms

INCARNATION = 7
CAPACITY = 3
TTL_S = 100.0
FINGERPRINTS = st.sampled_from(["a", "b"])


@dataclass(frozen=True)
class Copy:
    """A call on its way, sent at the ``order``-th step."""

    key: str
    terms: AtMostOnceTerms
    order: int


class LedgerMachine(RuleBasedStateMachine):
    """Copies of calls reach one sidecar late, twice, or after a withdrawal."""

    def __init__(self):
        super().__init__()
        self.ledger = CallLedger(INCARNATION, CAPACITY, TTL_S)
        self.now = 0.0
        self.order = 0
        self.keys = 0
        self.effects = {}
        self.inputs = {}
        self.not_run_at = {}

    tokens = Bundle("tokens")
    copies = Bundle("copies")
    running = Bundle("running")

    @rule(seconds=st.sampled_from([1.0, TTL_S / 2, TTL_S, TTL_S + KEEP_MARGIN_S]))
    def time_passes(self, seconds):
        self.now += seconds

    @rule(target=tokens)
    def issue(self):
        self.keys += 1
        return f"key-{self.keys}", self.now

    @rule(target=copies, token=tokens, fingerprint=FINGERPRINTS)
    def send(self, token, fingerprint):
        key, issued = token
        self.order += 1
        permit = self.ledger.permit(key)
        terms = AtMostOnceTerms(INCARNATION, issued, permit, fingerprint)
        return Copy(key, terms, self.order)

    @rule(target=running, copy=copies)
    def receive(self, copy):
        verdict = self.ledger.open(self.now, copy.key, copy.terms)
        if verdict is not CallVerdict.FRESH:
            return ""
        # Refused as not run: no copy sent before that may start any more.
        assert copy.order > self.not_run_at.get(copy.key, 0)
        self.inputs[copy.key] = copy.terms.fingerprint
        return copy.key

    @rule(key=consumes(running))
    def start(self, key):
        if self.ledger.state(key) is CallState.QUEUED:
            self.effects[key] = self.effects.get(key, 0) + 1
            self.ledger.started(key)

    @rule(key=st.integers(1, 5))
    def end(self, key):
        name = f"key-{key}"
        if self.ledger.state(name) is CallState.STARTED:
            self.ledger.ended(name)

    @rule(copy=copies)
    def withdraw(self, copy):
        same = self.inputs.get(copy.key) in (None, copy.terms.fingerprint)
        if self.ledger.state(copy.key) is CallState.QUEUED and same:
            self.ledger.discard(copy.key)
            self.inputs.pop(copy.key)
        self.order += 1
        verdict = self.ledger.withdraw(self.now, copy.key, copy.terms)
        if verdict is CallVerdict.WITHDRAWN:
            assert copy.key not in self.effects
            self.not_run_at[copy.key] = max(
                copy.order, self.not_run_at.get(copy.key, 0)
            )

    @rule(copy=copies)
    def arrive_at_another_incarnation(self, copy):
        other = CallLedger(INCARNATION + 1, CAPACITY, TTL_S)
        assert (
            other.open(self.now, copy.key, copy.terms) is CallVerdict.OTHER_INCARNATION
        )
        assert (
            other.withdraw(self.now, copy.key, copy.terms)
            is CallVerdict.OTHER_INCARNATION
        )

    @invariant()
    def at_most_one_effect(self):
        assert all(count == 1 for count in self.effects.values())

    @invariant()
    def bounded(self):
        assert len(self.ledger) <= CAPACITY


TestLedger = LedgerMachine.TestCase
TestLedger.settings = settings(
    max_examples=300, stateful_step_count=40, derandomize=True, deadline=None
)


def test_a_full_ledger_refuses_and_forgets_only_what_is_too_old():
    """
    At the peak a sidecar's records are full. Making room by dropping the oldest
    would let its repeat run again; a call that still runs stays however old.
    """
    ledger = CallLedger(INCARNATION, 2, TTL_S)

    def terms(issued):
        return AtMostOnceTerms(INCARNATION, issued, 0, "a")

    assert ledger.open(0.0, "one", terms(0.0)) is CallVerdict.FRESH
    assert ledger.open(0.0, "two", terms(0.0)) is CallVerdict.FRESH
    assert ledger.open(0.0, "three", terms(0.0)) is CallVerdict.FULL
    ledger.started("one")
    ledger.ended("one")
    late = TTL_S + KEEP_MARGIN_S + 1
    assert ledger.open(late, "three", terms(late)) is CallVerdict.FRESH
    assert ledger.open(late, "one", terms(0.0)) is CallVerdict.EXPIRED
    assert ledger.state("two") is CallState.QUEUED


def test_an_early_handover_never_replaces_the_final_one():
    """
    A sidecar hands its records over before it waits for a long call, and again as
    it ends. A peer that only got the early set stops in turn and passes it on:
    where it won, the long call's result would be unknown again.
    """

    def handover(status, final):
        call = HandedOverCall("one", "a", status, b"")
        return Handover("dispatch-1", INCARNATION, 1.0, TTL_S, (call,), final)

    handed = ReceivedHandovers(1)
    found = []
    for status, final in (("unknown", False), ("finished", True), ("unknown", False)):
        assert handed.take(0.0, handover(status, final))
        found.append(handed.call(INCARNATION, "one").status)
    assert found == ["unknown", "finished", "finished"]
