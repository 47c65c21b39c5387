"""Entries that the store turns away, that leave, and that are killed."""

import pytest

from amaranthtally.policy import PeerDirectory, PeerRecord

ONE = PeerRecord("10.0.0.1:1", "cluj-a")
TWO = PeerRecord("10.0.0.2:1", "iasi-a")


@pytest.fixture
def directory():
    found = PeerDirectory()
    found.replace(0.0, {"one": ONE, "two": TWO})
    return found


def test_an_entry_without_a_record_counts_while_it_says_that_it_stays(directory):
    """
    Two entries call one endpoint for as long as one of them is cut off from the store:
    its lease has run out, and the others have given its endpoints away.
    """
    directory.records_removed(10.0, ["one"])
    for now in (11.0, 13.5, 16.0, 18.5):
        assert not directory.expire(now)
        assert set(directory.alive) == {"one", "two"}
        assert directory.unconfirmed == ("one",)
        directory.note_alive(now, "one")
    directory.put("one", ONE)
    assert directory.unconfirmed == ()
    assert not directory.expire(60.0)


def test_an_entry_that_leaves_or_does_not_answer_counts_no_more(directory):
    """
    Pieces are asked of an entry that has been killed, until each call to it fails.
    """
    directory.records_removed(10.0, ["one", "two"])
    assert directory.note_left(10.1, "one")
    assert set(directory.alive) == {"two"}
    assert directory.expire(13.1)
    assert not directory.alive


def test_an_entry_that_has_left_can_still_be_told_of_its_pieces(directory):
    """
    Every request of a stopping entry is refused after seconds of work for it: its
    address went with its record, and nobody could tell it of what was made.
    """
    directory.records_removed(10.0, ["one"])
    directory.note_left(10.1, "one")
    assert directory.addresses["one"] == ONE.address
    directory.expire(20.0)
    assert "one" in directory.addresses
    directory.expire(45.0)
    assert "one" not in directory.addresses
    assert "two" in directory.addresses


def test_the_word_of_a_registered_entry_changes_nothing(directory):
    directory.note_alive(1.0, "one")
    assert not directory.note_left(1.0, "one")
    assert set(directory.alive) == {"one", "two"}


def test_an_entry_that_is_back_under_its_name_is_taken_at_its_new_address(directory):
    directory.records_removed(10.0, ["one"])
    directory.note_left(10.0, "one")
    moved = PeerRecord("10.0.0.9:1", "cluj-a")
    directory.put("one", moved)
    directory.expire(90.0)
    assert directory.alive["one"] == moved
    assert directory.addresses["one"] == moved.address


def test_an_entry_is_met_by_its_greeting(directory):
    """
    An entry that starts while the store is away serves nobody until it is back: it
    knows no peer to ask for the configuration, though its peers know it.
    """
    three = PeerRecord("10.0.0.3:1", "iasi-a")
    assert directory.note_greeting(1.0, "three", three)
    assert not directory.note_greeting(2.0, "three", three)
    assert directory.alive["three"] == three
    assert directory.addresses["three"] == three.address
    assert not directory.note_greeting(2.0, "one", ONE)
    assert directory.expire(5.1)
    assert "three" not in directory.alive


def test_an_entry_that_takes_no_part_is_not_met(directory):
    directory.records_removed(10.0, ["one"])
    directory.note_left(10.0, "one")
    assert not directory.note_greeting(10.1, "one", PeerRecord("", ""))
    assert set(directory.alive) == {"two"}
