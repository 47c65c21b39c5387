"""Racing writers over a store that loses answers and applies writes late."""

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
def no_pauses(monkeypatch):
    monkeypatch.setattr(change_store, "WRITE_PAUSE_S", 0)
    monkeypatch.setattr(committer, "HEAD_PAUSE_S", 0)


class Writer:
    def __init__(self, store, name):
        self.name = name
        self.state = SettingsState()
        changes, snapshots = ChangeStore(store), SnapshotStore(store)
        self.follower = LogFollower(changes, snapshots, self.state)
        self.committer = Committer(changes, snapshots, self.state, self.follower)
        self.ended = {}

    async def write(self, places):
        for number, (scope, key) in enumerate(places):
            change_id = f"{self.name}-{number}"
            value = 1 + int(self.name)
            ops = [Op(scope, key, value)]
            base = self.state.revision
            proposal = Proposal(self.name, "race", ops, base, change_id)
            self.ended[change_id] = await self.committer.commit(proposal)

    async def catch_up(self):
        while isinstance(await self.follower._step(LogHead(0)), Err):
            pass
        await self.committer.close()


def log_of(store):
    keys = sorted(key for key in store.items if key.startswith("changes/"))
    return [decode_change(store.items[key].value) for key in keys]


@settings(derandomize=True, deadline=None, max_examples=300)
@given(PLANS, FAULTS, STEPS)
def test_each_answer_to_a_writer_is_true(plans, faults, steps):
    """
    Operators race while the platform loses answers and applies writes late. One
    told "committed" whose change is missing, or twice in the log, or one told
    "refused" whose change comes into force, could not trust any answer.
    """

    async def scenario():
        store = FakeStore(faults, steps)
        writers = [Writer(store, str(n)) for n in range(len(plans))]
        await asyncio.gather(*(w.write(p) for w, p in zip(writers, plans, strict=True)))
        store.faults.clear()
        while store.late:
            await store.turn()
        log = log_of(store)
        assert [change.number for change in log] == list(range(1, len(log) + 1))
        ids = [change.id for change in log]
        assert len(ids) == len(set(ids))
        for writer in writers:
            for change_id, ended in writer.ended.items():
                check_answer(change_id, ended, ids, log)
            await writer.catch_up()
            assert writer.state.revision == len(log)
            assert writer.state.tree.items() == fold(log).items()

    asyncio.run(scenario())


def check_answer(change_id, ended, ids, log):
    if isinstance(ended, Ok):
        assert log[ended.ok_value.number - 1] == ended.ok_value
    elif not isinstance(ended.err_value, PlatformOutcomeUnknown):
        assert change_id not in ids
    if isinstance(ended, Err) and isinstance(ended.err_value, ChangeConflict):
        assert ended.err_value.winner in log


def fold(log):
    tree = Tree()
    for change in log:
        tree = tree.fold(change)
    return tree


def test_a_write_that_may_still_land_is_not_called_refused():
    """
    The platform takes a write and stalls; the entry reads back nothing, and its
    second try meets an outage. Told "nothing was written", the operator sends the
    change again, and finds the first one in force when the stall ends.
    """

    async def scenario():
        read_head, write, read_back, again = (
            Fault.NONE,
            Fault.LATE,
            Fault.NONE,
            Fault.DOWN,
        )
        down = [Fault.DOWN] * 10
        store = FakeStore([*down, again, read_back, write, read_head])
        writer = Writer(store, "1")
        await writer.write([("firm", "deadline_ms")])
        ended = writer.ended["1-0"]
        assert isinstance(ended.err_value, PlatformOutcomeUnknown)
        assert [change.id for change in log_of(store)] == ["1-0"]

    asyncio.run(scenario())


def test_a_change_that_the_head_does_not_name_is_found():
    """
    An operator's change is written, then the entry dies before the head names it.
    Every watch stays silent, so the change would be in force nowhere until the
    next one. A follower whose watch ends without news looks beyond the head.
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


def test_an_entry_cut_off_for_long_does_not_fork_the_log():
    """
    An entry loses the platform for days; meanwhile the log grows and its old
    changes are deleted. When the platform is back, an operator's change comes
    before the entry has read on: written at the old number, which is free again,
    it would be acknowledged and then be in force nowhere.
    """

    async def scenario():
        store = FakeStore()
        cut_off, writer = Writer(store, "1"), Writer(store, "2")
        await writer.write([("firm", "deadline_ms")] * 3)
        await cut_off.catch_up()
        for number in range(4, 151):
            ops = [Op("firm", "deadline_ms", number)]
            await writer.committer.commit(Proposal("2", "", ops, None, f"x{number}"))
        await asyncio.gather(*writer.committer._tasks)
        for number in range(1, 100):
            del store.items[f"changes/{number:09}"]
        ops = [Op("firm", "limit.rate", 7)]
        done = await cut_off.committer.commit(Proposal("1", "", ops, None, "late"))
        assert done.ok_value.number == 151
        assert cut_off.state.revision == 151

    asyncio.run(scenario())


@settings(derandomize=True, deadline=None, max_examples=150)
@given(FAULTS, FAULTS, STEPS)
def test_a_snapshot_cut_off_or_raced_harms_nothing(first, second, steps):
    """
    Two entries write a snapshot at once while answers get lost; either is cut off
    at any call. Whoever starts next must read a whole tree or none, and reach the
    newest revision in both cases: a half-written one would show as lost settings.
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
        older = fold(log_of(store)[:110])
        trees = [writer.state.tree, older]
        await asyncio.gather(*(SnapshotStore(store).write(tree) for tree in trees))
        store.faults.clear()
        found = await SnapshotStore(store).read()
        assert (found.ok_value is not None) == ("snapshot" in store.items)
        started = Writer(store, "3")
        await started.catch_up()
        assert started.state.revision == 120
        assert started.state.tree.items() == writer.state.tree.items()

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
        kept = [change.number for change in log_of(store)]
        assert kept == list(range(300, 551))
        parts = {k.split("/")[1] for k in store.items if k.startswith("snapshot-parts")}
        assert parts == {"0000004", "0000005"}

    asyncio.run(scenario())
