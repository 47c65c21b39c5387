"""Entries before engines, all of which end on one request, on virtual time."""

from amaranthtally.policy import RequestKey
from amaranthtally.policy.part_losses import EndpointStart
from tests.load.prompts_fleet import END_AFTER_S, FAR_S, ROUTE_PART, PromptsFleet

FATAL_KEY = RequestKey(0xBAD)
# When the request first comes, and how long its caller waits after each failure.
FIRST_AT = 5.0
PAUSE_S = 0.4
# A stop ends after this time, in seconds, and so does a cut.
CUT_S = 3.0


class RequestsFleet(PromptsFleet):
    """
    Entries by name. One request comes again under new ids, at any entry.

    Its own part of the prompt tells it apart; the others it shares with sound requests.
    Without ``has_fatal`` it never comes. The callers of sound requests send each again
    after a loss, ``sound_tries`` times at most; then entries do not.
    With ``attempts`` an entry sends it to so many engines in one try. Entries that are
    ``cut`` reach only each other.
    """

    def __init__(
        self,
        size,
        attempts=1,
        has_prompt=True,
        has_fatal=True,
        sound_tries=1,
        **options,
    ):
        self._attempts = attempts
        self._fatal_parts = (
            (ROUTE_PART, 0xA000, FATAL_KEY) if has_prompt else (FATAL_KEY,)
        )
        self._has_prompt = has_prompt
        self._has_fatal = has_fatal
        self._sound_tries = sound_tries
        self._tries_left = {}
        self._sound_serial = 0
        self.cut = frozenset()
        super().__init__(size, **options)
        if sound_tries > 1:
            self.max_attempts = 1

    # Entries

    def cut_half(self):
        self.cut = frozenset(list(self.members)[::2])
        self.later(CUT_S, self.mend)

    def mend(self):
        self.cut = frozenset()

    def _call(self, name, peer, method, message):
        if (name in self.cut) == (peer in self.cut):
            super()._call(name, peer, method, message)
        elif method == "ends_reported":
            self.later(0.5, lambda: self._not_reported(name, peer))

    # Requests

    def _request(self, name, parts, *, is_fatal):
        self._sound_serial += 1
        shared = parts if self._has_prompt else ()
        key = RequestKey(0x1000000 + self._sound_serial)
        self._tries_left[key] = self._sound_tries - 1
        super()._request(name, (*shared, key), is_fatal=is_fatal)

    def note_lost(self, name, guard, start, parts, sent_at):
        super().note_lost(name, guard, start, parts, sent_at)
        if self._tries_left.get(parts[-1], 0):
            self._tries_left[parts[-1]] -= 1
            self.later(PAUSE_S, lambda: self._send_sound_again(parts))

    def _send_sound_again(self, parts):
        if self.members:
            name = self.random.choice(list(self.members))
            super()._request(name, parts, is_fatal=False)

    def end_in_turn(self, start, count, interval_s):
        """End engines one after the other, from a time on."""
        for number in range(count):
            at = start + number * interval_s
            self.at(at, lambda: self.end_engine(next(iter(self.engines), "")))

    def _arrive_fatal(self):
        if self._has_fatal:
            self.at(FIRST_AT, self._try)

    def _try(self):
        if not self.members:
            self.later(PAUSE_S, self._try)
            return
        name = self.random.choice(list(self.members))
        if self.members[name].blocked_part(self._fatal_parts) is not None:
            self.refused.append((self.now, True))
            self.later(PAUSE_S, self._try)
            return
        self._send(name, self.members[name], 1)

    def _send(self, name, guard, number):
        if not self.engines:
            self.later(PAUSE_S, self._try)
            return
        engine = self.random.choice(list(self.engines.values()))
        start, sent_at = EndpointStart(engine.name, 0), self.now
        after_s = FAR_S
        if engine.is_up:
            self.fatal_arrivals.append(self.now)
            self.later(END_AFTER_S, lambda: self.end_engine(engine.name))
            after_s += END_AFTER_S

        def lose():
            if self.members.get(name) is guard:
                self.note_lost(name, guard, start, self._fatal_parts, sent_at)
                is_blocked = guard.blocked_part(self._fatal_parts) is not None
                if number < self._attempts and not is_blocked:
                    self._send(name, guard, number + 1)
                    return
            self.later(PAUSE_S, self._try)

        self.later(after_s, lose)
