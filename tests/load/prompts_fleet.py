"""Entries before engines, some of which end on a part of a prompt, on virtual time."""

from random import Random

from amaranthtally.policy import (
    CheckEndpoint,
    Endpoint,
    PartChanged,
    PartState,
    Peer,
    PeerGroup,
    PromptGuard,
    ReportEnds,
    ReportSuccess,
    SpreadPartNotices,
)
from amaranthtally.policy.part_losses import EndpointStart
from amaranthtally.policy.prompt_guard import AGGREGATOR_KEY, AGGREGATORS
from tests.load.event_clock import EventClock

NEAR_S = 0.001
FAR_S = 0.012
# How long a sound request runs, and after which time an engine ends on a fatal part.
RUN_S = 0.6
END_AFTER_S = 0.08
# How long after its end an engine's record is removed, and another engine starts.
RECORD_LAG_S = 1.0
DOWN_S = 2.5
MAX_ATTEMPTS = 2
# How long after its death an entry is known to be dead.
KNOWN_DEAD_S = 3.0

ROUTE_PART = 0xC0DE
FATAL = 0xBAD


class Engine:
    """An engine and the requests that it runs, with what happens if it ends."""

    def __init__(self, name):
        self.name = name
        self.running = {}
        self.is_up = True


class PromptsFleet(EventClock):
    """
    Entries by name. Sound requests come at ``sound_rate`` a second, fatal ones too.

    ``fatal_rate`` is a function of time. A request has the route's part, a session's or
    the fatal one, and one of its own, which is not shared. With ``looks_whole``, the
    response to a fatal request ends with its connection as if it were whole. An engine
    that ``is_supervised`` keeps its record and its port, and resets all connections
    until it is up again.
    """

    def __init__(
        self,
        size,
        engines=9,
        sound_rate=20.0,
        fatal_rate=lambda now: 4.0 if now > 5.0 else 0.0,
        seed=1,
        tick_s=0.05,
        is_framed=True,
        looks_whole=False,
        is_supervised=False,
    ):
        super().__init__()
        self.random = Random(seed)
        self.members = {}
        self.groups = {}
        self.registered = {}
        self.engines = {}
        self.ends = []
        self.fatal_arrivals = []
        self.sound = []
        self.refused = []
        self.blocked_at = {}
        self.blocked_parts = set()
        self.cleared = []
        self.messages = 0
        self._fatal_rate = fatal_rate
        self._is_framed = is_framed
        self._looks_whole = looks_whole
        self._is_supervised = is_supervised
        self._tick_s = tick_s
        self.max_attempts = MAX_ATTEMPTS
        self._engine_serial = 0
        for _ in range(engines):
            self.start_engine()
        for number in range(size):
            self.start(f"entry-{number}")
        self.update_peers()
        self._arrive_sound(sound_rate)
        self._arrive_fatal()

    # Entries

    def start(self, name):
        group = self.groups[name] = PeerGroup()
        group.set_name(name)
        guard = self.members[name] = PromptGuard(group, lambda now, part: [])
        self.blocked_at.pop(name, None)
        guard.endpoints_changed(self.now, dict(self.registered))
        others = [member for other, member in self.members.items() if other != name]
        if others:
            # An entry that starts reads what others know before it serves.
            notices = self.random.choice(others).notices
            self._carry_out(name, guard.notices_received(self.now, notices))
        first_s = self.random.random() * self._tick_s
        self.later(first_s, lambda: self._tick(name, guard))

    def kill(self, name):
        del self.members[name]

    def update_peers(self):
        peers = [Peer(name, "a") for name in self.members]
        for name, guard in self.members.items():
            if self.groups[name].replace(self.now, peers):
                self._carry_out(name, guard.peers_changed(self.now))

    def aggregators(self):
        first = next(iter(self.members))
        return self.groups[first].first(self.now, AGGREGATOR_KEY, AGGREGATORS)

    def kill_aggregators(self):
        """Kill those that decide; they start again once the others know."""
        killed = self.aggregators()
        for name in killed:
            self.kill(name)
        self.later(KNOWN_DEAD_S, self.update_peers)
        for name in killed:
            self.later(KNOWN_DEAD_S + 1.0, lambda n=name: self.start(n))
        self.later(KNOWN_DEAD_S + 1.2, self.update_peers)

    def _tick(self, name, guard):
        if self.members.get(name) is guard:
            self._carry_out(name, guard.tick(self.now))
            self.later(self._tick_s, lambda: self._tick(name, guard))

    def _carry_out(self, name, actions):
        for action in actions:
            if isinstance(action, PartChanged):
                if action.notice.state is PartState.BLOCKED:
                    self.blocked_at.setdefault(name, self.now)
                    self.blocked_parts.add(action.notice.part)
                elif action.is_own:
                    self.cleared.append((self.now, action.notice.part))
            elif isinstance(action, CheckEndpoint):
                self.later(2 * FAR_S, lambda n=name, a=action: self._check(n, a))
            elif isinstance(action, SpreadPartNotices):
                for peer in action.peers:
                    self._call(name, peer, "notices_received", action.notices)
            elif isinstance(action, ReportEnds):
                self._call(name, action.peer, "ends_reported", action.ends)
            elif isinstance(action, ReportSuccess):
                self._call(name, action.peer, "successes", action.successes)

    def _check(self, name, check):
        engine = self.engines.get(check.endpoint)
        guard = self.members.get(name)
        if guard is not None and (engine is None or not engine.is_up):
            self._carry_out(name, guard.endpoint_unreachable(self.now, check.endpoint))

    def _call(self, name, peer, method, message):
        self.messages += 1
        if peer not in self.members:
            if method == "ends_reported":
                self.later(NEAR_S, lambda: self._not_reported(name, peer))
            return
        delay_s = self.random.choice((NEAR_S, FAR_S))
        self.later(delay_s, lambda: self._deliver(peer, method, message))

    def _not_reported(self, name, peer):
        guard = self.members.get(name)
        if guard is not None:
            self._carry_out(name, guard.not_reported(self.now, peer))

    def _deliver(self, peer, method, message):
        guard = self.members.get(peer)
        if guard is None:
            return
        if method == "successes":
            guard.successes_reported(message)
        elif method == "ends_reported":
            guard.ends_reported(self.now, message)
        else:
            self._carry_out(peer, getattr(guard, method)(self.now, message))

    # Engines

    def start_engine(self):
        self._engine_serial += 1
        name = f"i-{self._engine_serial}"
        self.engines[name] = Engine(name)
        self.registered[name] = Endpoint(name, "llm", name, "a", "a", "10.0.0.1:1")
        self._records_changed()

    def end_engine(self, name):
        """End an engine; what it runs is lost."""
        engine = self.engines.get(name)
        if engine is None or not engine.is_up:
            return
        engine.is_up = False
        self.ends.append(self.now)
        lost, engine.running = list(engine.running.values()), {}
        for lose in lost:
            self.later(FAR_S, lose)
        if self._is_supervised:
            self.later(DOWN_S, lambda: setattr(engine, "is_up", True))
            return
        del self.engines[name]
        self.later(RECORD_LAG_S, lambda: self._remove_record(name))
        self.later(DOWN_S, self.start_engine)

    def _remove_record(self, name):
        del self.registered[name]
        self._records_changed()

    def _records_changed(self):
        registered = dict(self.registered)
        for name, guard in list(self.members.items()):
            self._carry_out(name, guard.endpoints_changed(self.now, registered))

    # Requests

    def _arrive_sound(self, rate):
        if self.members:
            session = 0xA000 + self.random.randrange(40)
            name = self.random.choice(list(self.members))
            self._request(name, (ROUTE_PART, session), is_fatal=False)
        self.later(self.random.expovariate(rate), lambda: self._arrive_sound(rate))

    def _arrive_fatal(self):
        rate = self._fatal_rate(self.now)
        if rate and self.members:
            name = self.random.choice(list(self.members))
            self._request(name, (ROUTE_PART, FATAL), is_fatal=True)
        pause_s = self.random.expovariate(rate) if rate else 0.1
        self.later(pause_s, self._arrive_fatal)

    def _request(self, name, parts, *, is_fatal):
        guard = self.members[name]
        outcome = {"at": self.now, "served": False, "blocked": False}
        if not is_fatal:
            self.sound.append(outcome)
        part = guard.blocked_part(parts)
        if part is not None and not guard.take_trial(self.now, part):
            outcome["blocked"] = True
            self.refused.append((self.now, is_fatal))
            return
        self._attempt(name, guard, parts, is_fatal, outcome, 1, part is not None)

    def _attempt(self, name, guard, parts, is_fatal, outcome, number, is_trial):
        if not self.engines or self.members.get(name) is not guard:
            return
        engine = self.random.choice(list(self.engines.values()))
        start, sent_at = EndpointStart(engine.name, 0), self.now
        key = object()

        def lose():
            if self.members.get(name) is not guard:
                return
            self.note_lost(name, guard, start, parts, sent_at)
            may_retry = guard.blocked_part(parts) is None and not is_trial
            if number < self.max_attempts and may_retry:
                self._attempt(name, guard, parts, is_fatal, outcome, number + 1, False)

        def finish():
            if engine.running.pop(key, None):
                outcome["served"] = number == 1
                self._succeed(
                    name, guard, start, parts, sent_at, is_framed=self._is_framed
                )

        def look_whole():
            self._succeed(name, guard, start, parts, sent_at, is_framed=False)

        if not engine.is_up:
            self.later(FAR_S, lose)
            return
        engine.running[key] = look_whole if is_fatal and self._looks_whole else lose
        if is_fatal:
            self.fatal_arrivals.append(self.now)
            self.later(END_AFTER_S, lambda: self.end_engine(engine.name))
        else:
            self.later(RUN_S * (0.5 + self.random.random()), finish)

    def note_lost(self, name, guard, start, parts, sent_at):
        actions = guard.attempt_lost(self.now, start, parts, sent_at)
        self._carry_out(name, actions)
        if start.id not in self.registered:
            self._carry_out(name, guard.endpoint_unreachable(self.now, start.id))

    def _succeed(self, name, guard, start, parts, sent_at, *, is_framed):
        if self.members.get(name) is guard:
            actions = guard.attempt_succeeded(
                self.now, start, parts, sent_at, is_framed
            )
            self._carry_out(name, actions)
