"""
Bytes, delays and processor time of the shared view of loads, without a network.

Run ``.venv/bin/python -m bench.load_traffic 6 25 68 750`` for a table.
"""

import heapq
import sys
import time
from functools import partial
from random import Random
from statistics import fmean, pvariance

from amaranthtally.policy.load_view.endpoint_keys import EndpointKeys
from amaranthtally.policy.load_view.exchange import MAX_ENTRIES
from bench.load_fleet import TICK_S, Fleet, report

# Endpoints, and streams a second for each entry: the workload of customer M, and the
# size that is aimed at, where an entry uses a subset of the endpoints.
SIZES = {
    6: (6, 2.5),
    25: (23, 2.5),
    68: (64, 2.5),
    96: (90, 2.5),
    750: (11_000, 14.0),
}
SUBSET = 96
PREFILL_S = 0.3
STREAM_S = 3.0
PROMPT_TOKENS = 3_000
SLOWNESS_CHANGES_S = 0.6
WARM_UP_S = 3.0


class Traffic:
    """Streams that begin at random, with a report in the head of each response."""

    def __init__(self, entries):
        endpoints, rate = SIZES[entries]
        self.random = random = Random(7)
        self.fleet = Fleet(entries, endpoints, active=False)
        keys = EndpointKeys(self.fleet.endpoints)
        self.cpu_s = dict.fromkeys(self.fleet.views, 0.0)
        names = list(self.fleet.endpoints)
        self.events = []
        for name, view in self.fleet.views.items():
            # One index for all: one for each of 750 entries would take gigabytes.
            view._keys = keys  # noqa: SLF001
            view.report_received(0.0, self.fleet.endpoints["e0"], report())
            self._measure(name, view)
            subset = random.sample(names, min(SUBSET, endpoints))
            self._add(random.expovariate(rate), self._arrive, name, subset, rate)

    def _measure(self, name, view):
        def measured(inner, *args):
            began = time.perf_counter()
            result = inner(*args)
            self.cpu_s[name] += time.perf_counter() - began
            return result

        for method in ("tick", "exchange_received", "exchange_answered"):
            setattr(view, method, partial(measured, getattr(view, method)))

    def _add(self, at, work, *args):
        heapq.heappush(self.events, (at, self.random.random(), work, args))

    def run(self, seconds):
        end = self.fleet.now + seconds
        while self.fleet.now < end:
            while self.events and self.events[0][0] <= self.fleet.now:
                at, _, work, args = heapq.heappop(self.events)
                work(at, *args)
            self.fleet.run(TICK_S)

    def _arrive(self, at, name, subset, rate):
        endpoint = self.random.choice(subset)
        self._change(name, endpoint, 1, PROMPT_TOKENS)
        self._add(at + PREFILL_S, self._begin, name, endpoint)
        self._add(at + STREAM_S, self._end, name, endpoint)
        again = at + self.random.expovariate(rate)
        self._add(again, self._arrive, name, subset, rate)

    def _begin(self, at, name, endpoint):
        self._change(name, endpoint, 0, -PROMPT_TOKENS)
        changes = Random(f"{endpoint}/{int(at / SLOWNESS_CHANGES_S)}")
        slowness = 2.5 if changes.random() < 0.15 else 1.0
        self.fleet.views[name].report_received(
            self.fleet.now, self.fleet.endpoints[endpoint], report(0, slowness)
        )

    def _end(self, at, name, endpoint):
        self._change(name, endpoint, -1, 0)

    def _change(self, name, endpoint, calls, tokens):
        before = self.fleet.calls[name].get(endpoint, (0, 0))
        self.fleet.set_calls(name, endpoint, before[0] + calls, before[1] + tokens)

    def figures(self, seconds):
        """Return bytes a second and shares of a core: means and those of the worst."""
        self.run(WARM_UP_S)
        views = self.fleet.views
        before = {name: view.counters.sent_bytes for name, view in views.items()}
        self.cpu_s = dict.fromkeys(views, 0.0)
        self.run(seconds)
        sent = [(v.counters.sent_bytes - before[n]) / seconds for n, v in views.items()]
        cpu = [spent / seconds for spent in self.cpu_s.values()]
        return fmean(sent), max(sent), fmean(cpu), max(cpu)

    def errors(self):
        """Return the mean absolute error of the calls of others, and their mean."""
        errors, truths = [], []
        views = list(self.fleet.views)
        for name in self.random.sample(views, min(25, len(views))):
            for endpoint in self.fleet.calls[name]:
                truth = self.fleet.truth(name, endpoint)
                errors.append(abs(self.fleet.find(name, endpoint).calls - truth))
                truths.append(truth)
        return fmean(errors), fmean(truths)


def delays(entries, changes=12):
    """Return when a region, and the fleet, know a change; means in seconds."""
    traffic = Traffic(entries)
    traffic.run(WARM_UP_S)
    fleet, near, far = traffic.fleet, [], []
    for number in range(changes):
        name = f"g{traffic.random.randrange(entries)}"
        endpoint = f"e{number % 3}"
        mark = 100 * (number + 1)
        fleet.set_calls(name, endpoint, mark)
        began, missing = fleet.now, set(fleet.views) - {name}
        while missing:
            traffic.run(0.02)
            missing = {n for n in missing if fleet.find(n, endpoint).calls < mark}
            regions = {fleet.regions[n] for n in missing}
            if len(near) <= number and fleet.regions[name] not in regions:
                near.append(fleet.now - began)
        far.append(fleet.now - began)
        fleet.set_calls(name, endpoint, 0)
        traffic.run(2.5)
    return fmean(near), fmean(far)


def queue_variance(choose, entries=68, endpoints=64, lag_s=0.3):
    """Return the mean variance of queues if entries choose by a view with a lag."""
    random, now, queues, ends = Random(5), 0.0, [0] * endpoints, []
    history, variances = [(0.0, tuple(queues))], []
    own = [[0] * endpoints for _ in range(entries)]
    while now < 30.0:
        now += random.expovariate(entries * 8.0)
        while ends and ends[0][0] <= now:
            _, entry, endpoint = heapq.heappop(ends)
            queues[endpoint] -= 1
            own[entry][endpoint] -= 1
        while len(history) > 1 and history[1][0] <= now - lag_s:
            history.pop(0)
        entry = random.randrange(entries)
        endpoint = choose(random, history[0][1], queues, own[entry])
        queues[endpoint] += 1
        own[entry][endpoint] += 1
        heapq.heappush(ends, (now + random.expovariate(1.0), entry, endpoint))
        history.append((now, tuple(queues)))
        if now > 5.0:
            variances.append(pvariance(queues))
    return fmean(variances)


def main():
    """Print the table of the sizes that are named."""
    for entries in map(int, sys.argv[1:]):
        traffic = Traffic(entries)
        mean, most, cpu, most_cpu = traffic.figures(6.0)
        error, calls = traffic.errors()
        row = f"| {entries} | {mean:.0f} | {most:.0f} | {cpu:.4f} | {most_cpu:.4f} "
        row += f"| {error:.2f} of {calls:.2f} |"
        if entries <= MAX_ENTRIES:
            row += " {:.2f} | {:.2f} |".format(*delays(entries))
        sys.stdout.write(row + "\n")
        sys.stdout.flush()


if __name__ == "__main__":
    main()
