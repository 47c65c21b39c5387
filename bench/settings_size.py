"""
What the settings cost one process, by the number of endpoints and accounts.

Prints resident memory of the tree, the bytes that an entry holds in all, and the
time of one change: fold, links, the view of an entry, the check at commit; and a
snapshot's size and time. Fifteen endpoints share a host.
"""

import argparse
import time
import tracemalloc
from pathlib import Path

from amaranthtally.daemon.entry.pipelines import PolicySettingsBuilder
from amaranthtally.daemon.settings_links import choose_links, endpoint_registrations
from amaranthtally.daemon.settings_sync import SIDECAR_LINKS
from amaranthtally.policy import Planner, PolicySettings
from amaranthtally.settings import Change, ChangeLog, Op, Scope, SettingsView, check_ops
from amaranthtally.settings.change_log import decode_change, encode_change
from amaranthtally.settings.snapshot import decode_tree, split_snapshot

PIPELINES = 7
STAGES = 5
REPEATS = 5
ENDPOINTS_A_HOST = 15
OPS_A_CHANGE = 500
PAGE = 4096


def resident():
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE


def ops_of(endpoints, accounts):
    ops = []
    for number in range(PIPELINES):
        scope = f"pipeline:p{number}"
        stages = [f"s{stage}" for stage in range(STAGES)]
        ops.append(Op(scope, "stages", stages))
        for stage in stages:
            ops.append(Op(scope, f"stage.{stage}.pool", f"pool-{stage}"))
    for number in range(accounts):
        scope = f"account:a{number}"
        ops.append(Op(scope, "key_sha256", f"{number:064x}"))
        ops.append(Op(scope, "limit.rate", 50))
        ops.append(Op(f"{scope}/pipeline:p0", "stage.s0.model", "m-1"))
    for number in range(endpoints):
        table = {
            "pool": f"pool-s{number % STAGES}",
            "host": f"host-{number // ENDPOINTS_A_HOST}",
            "region": f"region-{number % 4}",
            "data_centre": f"dc-{number % 14}",
            "address": f"10.0.{number // 250}.{number % 250}:7000",
            "models": [],
        }
        ops.append(Op("firm", f"endpoint.e{number}", table))
    return ops


def timed(name, work):
    best = min(_once(work) for _ in range(REPEATS))
    print(f"{name}: {1000 * best:.2f} ms")


def _once(work):
    started = time.perf_counter()
    work()
    return time.perf_counter() - started


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--endpoints", type=int, default=11_000)
    parser.add_argument("--accounts", type=int, default=940)
    arguments = parser.parse_args()
    first = split_snapshot(fresh(arguments).tree)
    before = resident()
    tree = decode_tree(b"".join(first.parts))
    grown = resident() - before
    size = sum(map(len, first.parts))
    print(f"endpoints {arguments.endpoints}, accounts {arguments.accounts}")
    print(f"tree, resident: {grown / 1e6:.1f} MB")
    print(f"held by an entry: {held_by_an_entry(arguments) / 1e6:.1f} MB")
    print(f"snapshot: {size / 1e6:.2f} MB in {len(first.parts)} parts")
    op = Op("firm", "limit.share", 2)
    model = Op("account:a1/pipeline:p0", "stage.s0.model", "m-2")
    register = Op("firm", "endpoint.e1", {**tree.get(Scope(), "endpoint.e2")})
    timed("fold of a change", lambda: tree.apply([op]))
    endpoints = endpoint_registrations(tree)
    timed("endpoints, compared", lambda: endpoint_registrations(tree) == endpoints)
    timed("links, chosen", lambda: choose_links(endpoints, "e1", SIDECAR_LINKS))
    timed("view of an entry", lambda: SettingsView(tree))
    timed("check of a limit", lambda: check_ops(tree, [op]))
    timed("check of a model", lambda: check_ops(tree, [model]))
    timed("check of a registration", lambda: check_ops(tree, [register]))
    timed("snapshot, encode", lambda: split_snapshot(tree))
    timed("snapshot, decode", lambda: decode_tree(b"".join(first.parts)))


def held_by_an_entry(arguments):
    """Return the bytes of tree, kept changes, view and policy, change by change."""
    ops = ops_of(arguments.endpoints, arguments.accounts)
    batches = [ops[n : n + OPS_A_CHANGE] for n in range(0, len(ops), OPS_A_CHANGE)]
    changes = [
        encode_change(Change(number, "bench", "bench", "", "bench", batch))
        for number, batch in enumerate(batches, start=1)
    ]
    del ops, batches
    tracemalloc.start()
    log, builder = ChangeLog(), PolicySettingsBuilder("region-0", "dc-0")
    planner = Planner(PolicySettings(0, "region-0", "dc-0"))
    for data in changes:
        log.take([decode_change(data)])
        view = SettingsView(log.tree)
        planner.settings_changed(0.0, builder.build(view))
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return held


def fresh(arguments):
    log = ChangeLog()
    ops = ops_of(arguments.endpoints, arguments.accounts)
    log.take([Change(1, "first", "bench", "", "bench", ops)])
    return log


if __name__ == "__main__":
    main()
