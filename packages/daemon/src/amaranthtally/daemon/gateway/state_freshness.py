"""How old the state is that a gateway acts on, and what confirms it."""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from enum import Enum
from math import inf
from typing import NamedTuple

from amaranthtally.daemon.logs import get_logger
from amaranthtally.wire.gateway_codec import Versions

__all__ = ["StateFreshness", "StateKind", "state_clock"]

# Interval between checks that the process runs, in seconds.
CHECK_INTERVAL_S = 0.5
# A gap between two checks from which on the process counts as having stood still, in
# seconds. It is far above what a loaded event loop needs, and below the time in which a
# change must take effect.
STANDSTILL_S = 1.0
# Number of answers of peers kept for each kind until their version is held, a few
# seconds of calls.
MAX_PENDING = 8
# How long an answer of a watcher of an older version, which tells no age, or a peer's
# agreement on the configuration, counts, in seconds: several rounds of calls.
AGREEMENT_TTL_S = 4.0
# How long it counts whether a peer answered, in seconds. Each round asks two random
# peers and may wait for one that is lost: about forty answers in that time.
CONTACT_TTL_S = 30.0
AGE_DIGITS = 3

log = get_logger()


class StateKind(Enum):
    """The kinds of state that are confirmed separately."""

    CONFIGURATION = "configuration"
    RECORDS = "records"


class _Contact(NamedTuple):
    """When a peer was last asked, and whether it held no newer configuration."""

    sent_at: float
    agrees: bool


class _Evidence(NamedTuple):
    """A version, and the time as of which nothing newer existed."""

    version: int
    as_of: float
    sent_at: float


NO_EVIDENCE = _Evidence(0, -inf, -inf)


def state_clock() -> float:
    """Return seconds on a clock that goes on while the process or host stands still."""
    if hasattr(time, "CLOCK_BOOTTIME"):
        return time.clock_gettime(time.CLOCK_BOOTTIME)
    return time.monotonic()


class StateFreshness:
    """
    Tracks as of when each kind of state is known to be the newest.

    Only answers to this gateway's own calls confirm state, counted from when the call
    was sent: a message that a peer sends by itself may have waited on the way. An age
    is thus an upper bound, and the age of evidence that passes from gateway to gateway
    never shrinks. After the process stood still, nothing is trusted until a call sent
    since then confirms it. ``held`` returns the version held of a kind.
    """

    def __init__(
        self,
        held: Callable[[StateKind], int],
        clock: Callable[[], float] = state_clock,
    ) -> None:
        self._held = held
        self._clock = clock
        self._confirmed = dict.fromkeys(StateKind, NO_EVIDENCE)
        self._pending: dict[StateKind, deque[_Evidence]] = {
            kind: deque(maxlen=MAX_PENDING) for kind in StateKind
        }
        self._older_watcher_at = -inf
        self._agreed_at = -inf
        self._contacts: dict[str, _Contact] = {}
        self._ran_at = clock()
        self._resumed_at = -inf
        self._on_resumed: list[Callable[[], None]] = []

    def now(self) -> float:
        """Return the time to note as that at which a call is sent."""
        now = self._clock()
        gap_s = now - self._ran_at
        self._ran_at = now
        if gap_s > STANDSTILL_S:
            self._resumed_at = now
            log.warning("process_stood_still", seconds=round(gap_s, 2))
            for notify in self._on_resumed:
                notify()
        return now

    def age_s(self, kind: StateKind) -> float:
        """Return the age of a kind of state in seconds, ``inf`` without evidence."""
        now = self.now()
        self._take_pending(kind)
        return now - self._last(kind).as_of

    @property
    def log_fields(self) -> dict[str, float]:
        """The ages in seconds, as fields of log lines."""
        return {
            f"{kind.value}_age_s": round(self.age_s(kind), AGE_DIGITS)
            for kind in StateKind
        }

    def confirmed_version(self, kind: StateKind) -> int:
        """Return the version up to which a kind of state was last confirmed."""
        self._take_pending(kind)
        return self._last(kind).version

    def confirm(
        self, kind: StateKind, sent_at: float, age_s: float = 0.0, version: int = 0
    ) -> None:
        """
        Note that nothing newer than a version existed ``age_s`` before a call was sent.

        It takes effect once this gateway holds that version.
        """
        evidence = _Evidence(version, sent_at - max(0.0, age_s), sent_at)
        if evidence.as_of > -inf:
            self._pending[kind].append(evidence)
            self._take_pending(kind)

    def confirm_versions(
        self, versions: Versions, sent_at: float, peer: str = ""
    ) -> None:
        """Note a peer's answer to a call; its versions bear the ages of its state."""
        self.confirm(
            StateKind.CONFIGURATION,
            sent_at,
            versions.configuration_age_s,
            versions.configuration,
        )
        self.confirm(
            StateKind.RECORDS, sent_at, versions.records_age_s, versions.records
        )
        if not versions.configuration or versions.configuration_age_s == inf:
            return
        if versions.configuration <= self._held(StateKind.CONFIGURATION):
            self._agreed_at = max(self._agreed_at, sent_at)
            self._contacts[peer] = _Contact(sent_at, agrees=True)

    def note_unanswered(self, peer: str, sent_at: float) -> None:
        """Note that a peer did not answer a call."""
        self._contacts[peer] = _Contact(sent_at, agrees=False)

    def note_older_watcher(self, sent_at: float) -> None:
        """Note an answer of a watcher that tells no ages, but that it watches."""
        self._older_watcher_at = max(self._older_watcher_at, sent_at)

    @property
    def peers_agree(self) -> bool:
        """
        Whether most gateways hold no newer configuration than this one.

        A peer has to have agreed recently. This gateway counts as one, and peers that
        were asked lately and did not answer count against: a part of the fleet that is
        cut off from the store and from the others would confirm itself for hours.
        """
        if not self.is_recent(self._agreed_at, AGREEMENT_TTL_S):
            return False
        self._contacts = {
            peer: contact
            for peer, contact in self._contacts.items()
            if self.is_recent(contact.sent_at, CONTACT_TTL_S)
        }
        agreeing = sum(contact.agrees for contact in self._contacts.values())
        return 2 * (agreeing + 1) > len(self._contacts) + 1

    def reported_age_s(self, kind: StateKind) -> float:
        """Return the age that peers may rely on; ``inf`` until confirmed again."""
        age_s = self.age_s(kind)
        return age_s if self._is_confirmed_again(kind) else inf

    def add_ages(self, versions: Versions) -> Versions:
        """Return the versions held with the ages that the caller may rely on."""
        return versions._replace(
            configuration_age_s=self.reported_age_s(StateKind.CONFIGURATION),
            records_age_s=self.reported_age_s(StateKind.RECORDS),
        )

    def is_trusted(self, kind: StateKind, limit_s: float) -> bool:
        """
        Return whether a kind of state is confirmed and at most ``limit_s`` old.

        A watcher of an older version sends no ages. What it says is trusted as before,
        so that a rolling upgrade makes no gateway watch the store or refuse callers.
        """
        if self.is_recent(self._older_watcher_at, AGREEMENT_TTL_S):
            return True
        return self.reported_age_s(kind) <= limit_s

    def is_recent(self, sent_at: float, limit_s: float) -> bool:
        """Return whether a call was sent lately, and since the last standstill."""
        now = self.now()
        return now - sent_at <= limit_s and sent_at >= self._resumed_at

    def notify_resumed(self, notify: Callable[[], None]) -> None:
        """Call ``notify`` whenever this process has stood still."""
        self._on_resumed.append(notify)

    async def run(self) -> None:
        """Notice standstills until cancelled."""
        while True:
            self.now()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _last(self, kind: StateKind) -> _Evidence:
        # Records are discarded if the store turns out to have gone back, as after a
        # loss of its data. What confirmed them is void then.
        last = self._confirmed[kind]
        return last if last.version <= self._held(kind) else NO_EVIDENCE

    def _is_confirmed_again(self, kind: StateKind) -> bool:
        return self._last(kind).sent_at >= self._resumed_at

    def _take_pending(self, kind: StateKind) -> None:
        pending = self._pending[kind]
        if not pending:
            return
        held = self._held(kind)
        taken = [evidence for evidence in pending if evidence.version <= held]
        if not taken:
            return
        known = [self._last(kind), *taken]
        self._confirmed[kind] = _Evidence(
            held,
            max(evidence.as_of for evidence in known),
            max(evidence.sent_at for evidence in known),
        )
        kept = [evidence for evidence in pending if evidence.version > held]
        self._pending[kind] = deque(kept, maxlen=MAX_PENDING)
