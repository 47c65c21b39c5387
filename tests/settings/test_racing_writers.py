"""Concurrent writers on a store that loses responses and delays writes."""

import asyncio

import pytest
from hypothesis import given, settings, strategies as st
from result import Err, Ok

from amaranthtally.daemon.entry import change_store, committer
from amaranthtally.daemon.entry.change_store import ChangeStore, LogHead
from amaranthtally.daemon.entry.committer import ChangeConflict, Committer
from amaranthtally.daemon.entry.log_follower import LogFollower
from amaranthtally.daemon.entry.snapshots import SnapshotStore
from amaranthtally.daemon.settings_state import SettingsState
from amaranthtally.daemon.supervision import Supervisor
from amaranthtally.platform import PlatformOutcomeUnknown
from amaranthtally.settings import Op, Proposal, Tree, decode_change
from tests.settings.fake_store import FakeStore, Fault

FAULTS = st.lists(
    st.sampled_from([Fault.NONE, Fault.NONE, Fault.NONE, *Fault]), max_size=40
)
STEPS = st.lists(st.integers(0, 3), max_size=60)
SCOPES = st.sampled_from(["firm", "region:a", "region:b"])
KEYS = st.sampled_from(["deadline_ms", "limit.rate"])
PLANS = st.lists(
    st.lists(st.tuples(SCOPES, KEYS), min_size=1, max_size=3), min_size=1, max_size=4
)


@pytest.fixture(autouse=True)
def without_pauses(monkeypatch):
    monkeypatch.setattr(change_store, "WRITE_PAUSE_S", 0)
    monkeypatch.setattr(committer, "HEAD_PAUSE_S", 0)


class Writer:
    def __init__(self, store, name):
        self.name = name
        self.state = SettingsState()
        changes, snapshots = ChangeStore(store), SnapshotStore(store)
        self.follower = LogFollower(changes, snapshots, self.state)
        self.committer = Committer(
            changes, snapshots, self.state, self.follower, Supervisor()
        )
        self.results = {}

    async def write(self, targets):
        for number, (scope, key) in enumerate(targets):
            change_id = f"{self.name}-{number}"
            value = 1 + int(self.name)
            ops = [Op(scope, key, value)]
            base = self.state.revision
            proposal = Proposal(self.name, "race", ops, base, change_id)
            self.results[change_id] = await self.committer.commit(proposal)

    async def catch_up(self):
        while isinstance(await self.follower._step(LogHead(0)), Err):
            pass
        await self.committer.close()


def read_log(store):
    keys = sorted(key for key in store.items if key.startswith("changes/"))
    return [decode_change(store.items[key].value) for key in keys]


@settings(derandomize=True, deadline=None, max_examples=300)
@given(PLANS, FAULTS, STEPS)
def test_commit_results_match_the_log(plans, faults, steps):
    """
    Guards against wrong results of commits when the platform loses responses and delays
    writes: a committed change that is missing from the log or in it twice, or a refused
    one that comes into force.
    """

    async def scenario():
        store = FakeStore(faults, steps)
        writers = [Writer(store, str(n)) for n in range(len(plans))]
        await asyncio.gather(*(w.write(p) for w, p in zip(writers, plans, strict=True)))
        store.faults.clear()
        while store.delayed:
            await store.run_others()
        log = read_log(store)
        assert [change.number for change in log] == list(range(1, len(log) + 1))
        ids = [change.id for change in log]
        assert len(ids) == len(set(ids))
        for writer in writers:
            for change_id, result in writer.results.items():
                check_result(change_id, result, ids, log)
            await writer.catch_up()
            assert writer.state.revision == len(log)
            assert writer.state.tree.items() == apply_all(log).items()

    asyncio.run(scenario())


def check_result(change_id, result, ids, log):
    if isinstance(result, Ok):
        assert log[result.ok_value.number - 1] == result.ok_value
    elif not isinstance(result.err_value, PlatformOutcomeUnknown):
        assert change_id not in ids
    if isinstance(result, Err) and isinstance(result.err_value, ChangeConflict):
        assert result.err_value.winner in log


def apply_all(log):
    tree = Tree()
    for change in log:
        tree = tree.fold(change)
    return tree


def test_write_that_may_still_take_effect_is_not_refused():
    """
    Guards against reporting "nothing was written" for a delayed write. The platform
    accepts a write but applies it later; the entry doesn't find it in the log, and its
    second attempt fails because of an outage. The operator would send the change again,
    although the first write may still take effect.
    """

    async def scenario():
        read_head, write, read_back, second_write = (
            Fault.NONE,
            Fault.LATE,
            Fault.NONE,
            Fault.DOWN,
        )
        down = [Fault.DOWN] * 10
        store = FakeStore([*down, second_write, read_back, write, read_head])
        writer = Writer(store, "1")
        await writer.write([("firm", "deadline_ms")])
        result = writer.results["1-0"]
        assert isinstance(result.err_value, PlatformOutcomeUnknown)
        assert [change.id for change in read_log(store)] == ["1-0"]

    asyncio.run(scenario())


def test_change_missing_from_the_head_is_found():
    """
    Guards against a committed change that no process applies. If the entry dies after
    it has written the change but before it has updated the head key, no watch reports
    the change until the next one is committed. A follower whose watch times out
    therefore reads past the head.
    """

    async def scenario():
        store = FakeStore()
        writer, other = Writer(store, "1"), Writer(store, "2")
        await writer.write([("firm", "deadline_ms")])
        await other.catch_up()
        head = store.items["head"]
        ops = [Op("region:a", "deadline_ms", 2)]
        await writer.committer.commit(Proposal("1", "", ops, None, "unnamed"))
        store.items["head"] = head
        seen = LogHead(head.index, 1)
        assert isinstance(await other.follower._step(seen), Ok)
        assert other.state.revision == 2
        assert store.items["head"].index > head.index

    asyncio.run(scenario())


def test_reconnected_entry_does_not_fork_the_log():
    """
    Guards against a fork of the log. While an entry is disconnected for days, the log
    grows and its old changes are deleted. If the entry commits a change before it has
    read the new ones, it could write under its old next number, which is free again;
    the change would be acknowledged but never come into force.
    """

    async def scenario():
        store = FakeStore()
        disconnected, writer = Writer(store, "1"), Writer(store, "2")
        await writer.write([("firm", "deadline_ms")] * 3)
        await disconnected.catch_up()
        for number in range(4, 151):
            ops = [Op("firm", "deadline_ms", number)]
            await writer.committer.commit(Proposal("2", "", ops, None, f"x{number}"))
        await asyncio.gather(*writer.committer._tasks)
        for number in range(1, 100):
            del store.items[f"changes/{number:09}"]
        ops = [Op("firm", "limit.rate", 7)]
        result = await disconnected.committer.commit(
            Proposal("1", "", ops, None, "late")
        )
        assert result.ok_value.number == 151
        assert disconnected.state.revision == 151

    asyncio.run(scenario())


@settings(derandomize=True, deadline=None, max_examples=150)
@given(FAULTS, FAULTS, STEPS)
def test_interrupted_or_concurrent_snapshots_lose_no_settings(first, second, steps):
    """
    Guards against losing settings through an incomplete snapshot: two entries write a
    snapshot at the same time, responses are lost, and either may fail at any call. A
    process that starts afterwards must read a complete tree or none, and reach the
    newest revision in both cases.
    """

    async def scenario():
        store = FakeStore((), ())
        writer = Writer(store, "1")
        for number in range(1, 121):
            ops = [Op("firm", "deadline_ms", number)]
            await writer.committer.commit(Proposal("1", "", ops, None, f"x{number}"))
        await writer.committer.close()
        store.items = {k: v for k, v in store.items.items() if "snapshot" not in k}
        store.faults, store.steps = first + second, list(steps)
        older = apply_all(read_log(store)[:110])
        trees = [writer.state.tree, older]
        await asyncio.gather(*(SnapshotStore(store).write(tree) for tree in trees))
        store.faults.clear()
        snapshot = await SnapshotStore(store).read()
        assert (snapshot.ok_value is not None) == ("snapshot" in store.items)
        restarted = Writer(store, "3")
        await restarted.catch_up()
        assert restarted.state.revision == 120
        assert restarted.state.tree.items() == writer.state.tree.items()

    asyncio.run(scenario())


def test_old_snapshots_and_old_changes_are_deleted():
    async def scenario():
        store = FakeStore()
        writer = Writer(store, "1")
        writer.committer._snapshots = SnapshotStore(store, kept_blocks=2)
        for number in range(1, 551):
            ops = [Op("firm", "deadline_ms", number)]
            await writer.committer.commit(Proposal("1", "", ops, None, f"x{number}"))
            await asyncio.gather(*writer.committer._tasks)
        kept = [change.number for change in read_log(store)]
        assert kept == list(range(300, 551))
        parts = {k.split("/")[1] for k in store.items if k.startswith("snapshot-parts")}
        assert parts == {"0000004", "0000005"}

    asyncio.run(scenario())
