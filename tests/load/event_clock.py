"""A clock of events for tests of many entries, without tasks and without network."""

import heapq
import itertools


class EventClock:
    """Runs actions in the order of their times, in seconds."""

    def __init__(self):
        self.now = 0.0
        self._events = []
        self._serial = itertools.count()

    def at(self, when, action):
        """Run an action at a time."""
        self.later(when - self.now, action)

    def later(self, delay_s, action):
        """Run an action after a delay."""
        heapq.heappush(self._events, (self.now + delay_s, next(self._serial), action))

    def run_until(self, end):
        """Run all actions up to a time."""
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end
