"""Entries with fair shares in front of one pool, as a fluid model without a network."""

from typing import NamedTuple

from amaranthtally.policy import Arrival, FairShares, RequestKey, Resource
from tests.policy.support import one_stage

STEP_S = 0.05
EXCHANGE_S = 0.5
PIPELINE = one_stage()
RESOURCE = Resource.STAGES


class Traffic(NamedTuple):
    """Requests a second of an account, its entries, and what its requests accept."""

    rate: float
    entries: tuple[int, ...] = (0,)
    max_wait_s: float = 1.0
    work_s: float = 0.05
    early_retries: int = 0


def arrival(account, key=None, **options):
    """Return an arrival of an account."""
    return Arrival("r", account, PIPELINE, 4.0, key=key, **options)


class SharesFleet:
    """Serves ``capacity`` seconds of work a second, first in, first out."""

    def __init__(self, entries, capacity=1.0, limits=(), hears=lambda a, b: True):
        self.shares = [FairShares() for _ in range(entries)]
        for shares in self.shares:
            shares.configure(dict(limits), entries, fair_shares=True)
        self.capacity = capacity
        self.hears = hears
        self.backlog_s = 0.0
        self.now = 0.0
        self.next_exchange = 0.0
        self.due = {}
        self.served = {}
        self.offered = {}
        self.serial = 0

    def run(self, seconds, traffic):
        """Let accounts send for a while; return the work served by account."""
        self.served, self.offered = {}, {}
        end = self.now + seconds - STEP_S / 2
        while self.now < end:
            self.now += STEP_S
            self.backlog_s = max(0.0, self.backlog_s - self.capacity * STEP_S)
            for account, sent in traffic.items():
                self._arrive(account, sent)
            for shares in self.shares:
                shares.refresh(self.now)
            if self.now >= self.next_exchange:
                self.next_exchange += EXCHANGE_S
                self._exchange()
        return {account: self.served.get(account, 0.0) for account in traffic}

    def _arrive(self, account, sent):
        due = self.due.get(account, 0.0) + sent.rate * STEP_S
        while due >= 1.0:
            due -= 1.0
            self.serial += 1
            key = RequestKey(self.serial)
            self.offered[account] = self.offered.get(account, 0.0) + sent.work_s
            for attempt in range(1 + sent.early_retries):
                entry = sent.entries[(self.serial + attempt) % len(sent.entries)]
                if self._submit(self.shares[entry], account, sent, key):
                    break
        self.due[account] = due

    def _submit(self, shares, account, sent, key):
        request = arrival(account, key)
        shares.offer(self.now, request, RESOURCE, sent.work_s)
        wait_s = self.backlog_s / self.capacity
        allowed_s = shares.allowed_wait_s(self.now, account, RESOURCE, sent.max_wait_s)
        if wait_s > allowed_s:
            shares.refused(self.now, request, RESOURCE, sent.max_wait_s, 1.0)
            return False
        shares.admit(self.now, request, RESOURCE, sent.work_s)
        self.backlog_s += sent.work_s
        self.served[account] = self.served.get(account, 0.0) + sent.work_s
        return True

    def _exchange(self):
        for sender, shares in enumerate(self.shares):
            report = shares.usage_to_send(self.now)
            if report is None:
                continue
            for receiver, other in enumerate(self.shares):
                if receiver != sender and self.hears(sender, receiver):
                    other.usage_received(self.now, f"e{sender}", report)
