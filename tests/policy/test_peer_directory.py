"""Entries that cannot reach the store, that leave, and that are killed."""

import pytest

from amaranthtally.policy import PeerDirectory, PeerRecord

RECORD_ONE = PeerRecord("10.0.0.1:1", "cluj-a")
RECORD_TWO = PeerRecord("10.0.0.2:1", "iasi-a")


@pytest.fixture
def directory():
    peers = PeerDirectory()
    peers.replace(0.0, {"one": RECORD_ONE, "two": RECORD_TWO})
    return peers


def test_an_entry_without_a_record_is_alive_while_it_answers(directory):
    """
    The lease of an entry that cannot reach the store expires. If the other entries then
    assigned its endpoints to another owner, two entries would call each endpoint until
    the store could be reached again.
    """
    directory.records_removed(10.0, ["one"])
    for now in (11.0, 13.5, 16.0, 18.5):
        assert not directory.expire(now)
        assert set(directory.alive) == {"one", "two"}
        assert directory.unconfirmed == ("one",)
        directory.note_alive(now, "one")
    directory.put("one", RECORD_ONE)
    assert directory.unconfirmed == ()
    assert not directory.expire(60.0)


def test_an_entry_that_leaves_or_does_not_answer_is_removed(directory):
    """
    Jobs would otherwise be submitted to an entry that was killed, until each call to it
    fails.
    """
    directory.records_removed(10.0, ["one", "two"])
    assert directory.note_left(10.1, "one")
    assert set(directory.alive) == {"two"}
    assert directory.expire(13.1)
    assert not directory.alive


def test_the_address_of_an_entry_that_left_is_retained(directory):
    """
    A stopping entry waits for results from its peers. When its address was dropped with
    its record, they could not be reported, and every request of the entry was refused
    after seconds of work for it.
    """
    directory.records_removed(10.0, ["one"])
    directory.note_left(10.1, "one")
    assert directory.addresses["one"] == RECORD_ONE.address
    directory.expire(20.0)
    assert "one" in directory.addresses
    directory.expire(45.0)
    assert "one" not in directory.addresses
    assert "two" in directory.addresses


def test_messages_of_a_registered_entry_change_nothing(directory):
    directory.note_alive(1.0, "one")
    assert not directory.note_left(1.0, "one")
    assert set(directory.alive) == {"one", "two"}


def test_an_entry_that_returns_under_its_name_has_its_new_address(directory):
    directory.records_removed(10.0, ["one"])
    directory.note_left(10.0, "one")
    moved = PeerRecord("10.0.0.9:1", "cluj-a")
    directory.put("one", moved)
    directory.expire(90.0)
    assert directory.alive["one"] == moved
    assert directory.addresses["one"] == moved.address


def test_an_entry_without_a_record_is_added_by_its_greeting(directory):
    """
    An entry that starts while the store is unavailable knows no peer from which to get
    the configuration, though its peers know it. It would serve no requests until the
    store is available again.
    """
    three = PeerRecord("10.0.0.3:1", "iasi-a")
    assert directory.note_greeting(1.0, "three", three)
    assert not directory.note_greeting(2.0, "three", three)
    assert directory.alive["three"] == three
    assert directory.addresses["three"] == three.address
    assert not directory.note_greeting(2.0, "one", RECORD_ONE)
    assert directory.expire(5.1)
    assert "three" not in directory.alive


def test_a_greeting_without_an_address_is_ignored(directory):
    directory.records_removed(10.0, ["one"])
    directory.note_left(10.0, "one")
    assert not directory.note_greeting(10.1, "one", PeerRecord("", ""))
    assert set(directory.alive) == {"two"}
