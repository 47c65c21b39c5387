"""
Memory and time that the settings cost one process, by endpoints and accounts.

Prints the tree's resident memory, all the bytes an entry holds for settings, and the
time of each step of one change: applying it to the tree, choosing links, building an
entry's view, and the check at commit. Prints a snapshot's size and coding time too.
Fifteen endpoints share a host.
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
ENDPOINTS_PER_HOST = 15
OPS_PER_CHANGE = 500
PAGE_BYTES = 4096


def resident_bytes():
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES


def build_ops(endpoints, accounts):
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
            "host": f"host-{number // ENDPOINTS_PER_HOST}",
            "region": f"region-{number % 4}",
            "data_centre": f"dc-{number % 14}",
            "address": f"10.0.{number // 250}.{number % 250}:7000",
            "models": [],
        }
        ops.append(Op("firm", f"endpoint.e{number}", table))
    return ops


def print_best_time(name, operation):
    best = min(time_once(operation) for _ in range(REPEATS))
    print(f"{name}: {1000 * best:.2f} ms")


def time_once(operation):
    started = time.perf_counter()
    operation()
    return time.perf_counter() - started


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--endpoints", type=int, default=11_000)
    parser.add_argument("--accounts", type=int, default=940)
    arguments = parser.parse_args()
    snapshot = split_snapshot(build_change_log(arguments).tree)
    before = resident_bytes()
    tree = decode_tree(b"".join(snapshot.parts))
    tree_bytes = resident_bytes() - before
    size = sum(map(len, snapshot.parts))
    print(f"endpoints {arguments.endpoints}, accounts {arguments.accounts}")
    print(f"tree, resident: {tree_bytes / 1e6:.1f} MB")
    print(f"held by an entry: {measure_entry_bytes(arguments) / 1e6:.1f} MB")
    print(f"snapshot: {size / 1e6:.2f} MB in {len(snapshot.parts)} parts")
    op = Op("firm", "limit.share", 2)
    model = Op("account:a1/pipeline:p0", "stage.s0.model", "m-2")
    register = Op("firm", "endpoint.e1", {**tree.get(Scope(), "endpoint.e2")})
    print_best_time("apply a change", lambda: tree.apply([op]))
    endpoints = endpoint_registrations(tree)
    print_best_time(
        "compare endpoints", lambda: endpoint_registrations(tree) == endpoints
    )
    print_best_time(
        "choose links", lambda: choose_links(endpoints, "e1", SIDECAR_LINKS)
    )
    print_best_time("build an entry's view", lambda: SettingsView(tree))
    print_best_time("check a limit", lambda: check_ops(tree, [op]))
    print_best_time("check a model", lambda: check_ops(tree, [model]))
    print_best_time("check a registration", lambda: check_ops(tree, [register]))
    print_best_time("encode a snapshot", lambda: split_snapshot(tree))
    print_best_time("decode a snapshot", lambda: decode_tree(b"".join(snapshot.parts)))


def measure_entry_bytes(arguments):
    """Return the bytes of tree, retained changes, view and policy of an entry.

    The changes are applied one by one, as an entry receives them.
    """
    ops = build_ops(arguments.endpoints, arguments.accounts)
    batches = [ops[n : n + OPS_PER_CHANGE] for n in range(0, len(ops), OPS_PER_CHANGE)]
    changes = [
        encode_change(Change(number, "bench", "bench", "", "bench", batch))
        for number, batch in enumerate(batches, start=1)
    ]
    del ops, batches
    tracemalloc.start()
    log, builder = ChangeLog(), PolicySettingsBuilder("region-0", "dc-0")
    planner = Planner(PolicySettings(0, "region-0", "dc-0"))
    for data in changes:
        log.apply_changes([decode_change(data)])
        view = SettingsView(log.tree)
        planner.settings_changed(0.0, builder.build(view))
    traced = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return traced


def build_change_log(arguments):
    log = ChangeLog()
    ops = build_ops(arguments.endpoints, arguments.accounts)
    log.apply_changes([Change(1, "first", "bench", "", "bench", ops)])
    return log


if __name__ == "__main__":
    main()
