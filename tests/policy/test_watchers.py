"""Election of watchers, and which of them an entry follows."""

import pytest

from amaranthtally.policy import WatcherSelection, elect_watchers, ring_neighbours

REGIONS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
CENTRES = tuple(REGIONS)


def entries(count, centres=CENTRES):
    return {f"entry-{n}": centres[n % len(centres)] for n in range(count)}


def selection_of(name, all_entries):
    own = all_entries[name]
    others = {other: dc for other, dc in all_entries.items() if other != name}
    selection = WatcherSelection(name, own, REGIONS)
    selection.replace_entries(others)
    return selection


@pytest.mark.parametrize("count", [1, 2, 3, 6, 24, 68, 300, 750])
def test_the_number_of_watchers_is_bounded(count):
    watchers = elect_watchers(entries(count))
    assert min(count, 3) <= len(watchers) <= max(4, count / 12 + 4)


def test_each_data_centre_has_a_watcher():
    everyone = entries(40)
    watched = {everyone[name] for name in elect_watchers(everyone)}
    assert watched == set(CENTRES)


def test_entries_agree_on_the_watchers():
    everyone = entries(24)
    elected = {n for n in everyone if selection_of(n, everyone).is_elected}
    assert elected == elect_watchers(everyone)


def test_followers_are_spread_over_the_watchers():
    everyone = entries(300, ("a1",))
    chosen = [
        selection.candidates(0.0)[0]
        for selection in (selection_of(name, everyone) for name in everyone)
        if not selection.is_elected
    ]
    busiest = max(chosen.count(watcher) for watcher in set(chosen))
    assert busiest <= 3 * 12


def test_a_few_entries_leave_the_other_watchers_elected():
    """Guards against a fleet that elects anew at each restart."""
    everyone = entries(96)
    before = elect_watchers(everyone)
    leaving = {name for name in everyone if name not in before}
    after = elect_watchers({n: d for n, d in everyone.items() if n not in leaving})
    assert after <= before


def test_near_watchers_are_asked_first_and_failed_ones_last():
    everyone = entries(48)
    follower = next(n for n in everyone if n not in elect_watchers(everyone))
    selection = selection_of(follower, everyone)
    near, second, *_ = selection.candidates(0.0)
    assert everyone[near] == everyone[follower]
    assert REGIONS[everyone[second]] == REGIONS[everyone[follower]]
    selection.note_failure(0.0, near)
    assert selection.candidates(0.1)[0] == second
    assert selection.candidates(0.1)[-1] == near
    assert selection.candidates(60.0)[0] == near


def test_contact_ends_without_answers():
    """Guards against a follower that trusts a watcher which hangs."""
    everyone = entries(48)
    follower = next(n for n in everyone if n not in elect_watchers(everyone))
    selection = selection_of(follower, everyone)
    watcher = selection.candidates(0.0)[0]
    assert not selection.has_contact(0.0)
    selection.follow(0.0, watcher)
    assert selection.has_contact(1.9)
    assert not selection.has_contact(2.1)
    selection.follow(3.0, watcher)
    selection.note_answer(3.1, watcher, is_watching=False)
    assert not selection.has_contact(3.1)


def test_an_elected_entry_follows_nobody():
    everyone = entries(48)
    watcher, other, *_ = sorted(elect_watchers(everyone))
    selection = selection_of(watcher, everyone)
    selection.follow(0.0, other)
    assert not selection.followed


def test_the_ring_reaches_every_entry():
    """Guards against an entry that nobody greets."""
    everyone = entries(30)
    reached, found = {"entry-0"}, ["entry-0"]
    while found:
        name = found.pop()
        others = {n: d for n, d in everyone.items() if n != name}
        for neighbour in ring_neighbours(name, everyone[name], others):
            if neighbour not in reached:
                reached.add(neighbour)
                found.append(neighbour)
    assert reached == set(everyone)


def test_an_entry_alone_has_no_neighbours():
    assert ring_neighbours("entry", "a1", {}) == ()
