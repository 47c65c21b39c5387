"""The call ledger's verdicts for any sequence of calls, copies and withdrawals."""

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
    """A copy of a call in flight; ``step`` is the number of the step that sent it."""

    key: str
    terms: AtMostOnceTerms
    step: int


class LedgerMachine(RuleBasedStateMachine):
    """Copies of calls reach one sidecar late, repeatedly, or after a withdrawal."""

    def __init__(self):
        super().__init__()
        self.ledger = CallLedger(INCARNATION, CAPACITY, TTL_S)
        self.now = 0.0
        self.step = 0
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
        self.step += 1
        permit = self.ledger.permit(key)
        terms = AtMostOnceTerms(INCARNATION, issued, permit, fingerprint)
        return Copy(key, terms, self.step)

    @rule(target=running, copy=copies)
    def receive(self, copy):
        verdict = self.ledger.open(self.now, copy.key, copy.terms)
        if verdict is not CallVerdict.FRESH:
            return ""
        # Once a call was reported as not run, no copy sent before may start.
        assert copy.step > self.not_run_at.get(copy.key, 0)
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
        same_input = self.inputs.get(copy.key) in (None, copy.terms.fingerprint)
        if self.ledger.state(copy.key) is CallState.QUEUED and same_input:
            self.ledger.discard(copy.key)
            self.inputs.pop(copy.key)
        self.step += 1
        verdict = self.ledger.withdraw(self.now, copy.key, copy.terms)
        if verdict is CallVerdict.WITHDRAWN:
            assert copy.key not in self.effects
            self.not_run_at[copy.key] = max(copy.step, self.not_run_at.get(copy.key, 0))

    @rule(copy=copies)
    def arrive_at_another_incarnation(self, copy):
        other_ledger = CallLedger(INCARNATION + 1, CAPACITY, TTL_S)
        assert (
            other_ledger.open(self.now, copy.key, copy.terms)
            is CallVerdict.OTHER_INCARNATION
        )
        assert (
            other_ledger.withdraw(self.now, copy.key, copy.terms)
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


def test_a_full_ledger_rejects_calls_and_drops_only_expired_records():
    """
    Guards against a repeat that runs because its record was dropped to make room. Only
    expired records of ended calls may be dropped; a running call's record stays.
    """
    ledger = CallLedger(INCARNATION, 2, TTL_S)

    def terms(issued):
        return AtMostOnceTerms(INCARNATION, issued, 0, "a")

    assert ledger.open(0.0, "one", terms(0.0)) is CallVerdict.FRESH
    assert ledger.open(0.0, "two", terms(0.0)) is CallVerdict.FRESH
    assert ledger.open(0.0, "three", terms(0.0)) is CallVerdict.FULL
    ledger.started("one")
    ledger.ended("one")
    after_expiry = TTL_S + KEEP_MARGIN_S + 1
    assert ledger.open(after_expiry, "three", terms(after_expiry)) is CallVerdict.FRESH
    assert ledger.open(after_expiry, "one", terms(0.0)) is CallVerdict.EXPIRED
    assert ledger.state("two") is CallState.QUEUED


def test_an_early_handover_never_replaces_the_final_one():
    """
    Guards against a lost result. A sidecar hands its records over before it waits for
    a long call, and again when it exits. A peer that received only the early records
    passes them on when it stops. They must not replace the final records, in which the
    long call's result is known.
    """

    def handover(status, final):
        call = HandedOverCall("one", "a", status, b"")
        return Handover("dispatch-1", INCARNATION, 1.0, TTL_S, (call,), final)

    received = ReceivedHandovers(1)
    statuses = []
    for status, final in (("unknown", False), ("finished", True), ("unknown", False)):
        assert received.accept(0.0, handover(status, final))
        statuses.append(received.call(INCARNATION, "one").status)
    assert statuses == ["unknown", "finished", "finished"]
