"""Which entry calls the endpoints for pieces of a data centre."""

import pytest

from amaranthtally.policy import Peer
from amaranthtally.policy.pool_sites import PoolSites
from tests.policy.pieces import CLUJ, IASI, endpoint

PEERS = [Peer(f"entry-{place}-{n}", place) for place in (CLUJ, IASI) for n in range(3)]
NOW = 1.0


def places_of(peer, peers=PEERS):
    found = PoolSites()
    found.configure(peer.name, peer.data_centre, peer.data_centre)
    found.replace_peers(peers)
    return found


def owner_as_seen_by(peer, *args, **options):
    return places_of(peer, **options).owner(NOW, *args) or peer.name


@pytest.mark.parametrize("pool", ["catalogue", "roster", "ledger"])
def test_all_entries_agree_on_one_owner_in_the_same_data_centre(pool):
    """
    Six entries call one endpoint, and a fifth of their calls is refused. They have
    nobody to ask who is to call it: each works it out from the same list.
    """
    owners = {owner_as_seen_by(peer, pool, CLUJ) for peer in PEERS}
    assert len(owners) == 1
    assert owners < {peer.name for peer in PEERS if peer.data_centre == CLUJ}


def test_without_an_entry_in_the_data_centre_another_owns_it():
    away = [peer for peer in PEERS if peer.data_centre == IASI]
    owners = {owner_as_seen_by(p, "roster", CLUJ, peers=away) for p in away}
    assert len(owners) == 1


def test_a_peer_that_does_not_answer_is_asked_for_nothing_for_a_while():
    found = places_of(PEERS[5])
    owner = found.owner(NOW, "roster", CLUJ)
    found.peer_failed(NOW, owner)
    assert found.owner(NOW + 1.0, "roster", CLUJ) != owner
    assert found.owner(NOW + 10.0, "roster", CLUJ) == owner


def test_a_peer_that_answers_again_owns_its_endpoints_at_once():
    """
    All entries lose power and start again within half a second. The first one to be
    back finds the ports of the others closed and left them alone for three seconds:
    two entries called each endpoint, and filled its queue and memory for each other.
    """
    found = places_of(PEERS[5])
    owner = found.owner(NOW, "roster", CLUJ)
    found.peer_failed(NOW, owner)
    assert found.unavailable_peers(NOW + 0.1) == {owner}
    found.peer_recovered(owner)
    assert found.unavailable_peers(NOW + 0.1) == frozenset()
    assert found.owner(NOW + 0.1, "roster", CLUJ) == owner


def test_a_peer_that_has_gone_for_good_is_not_looked_after():
    found = places_of(PEERS[5])
    owner = found.owner(NOW, "roster", CLUJ)
    found.peer_failed(NOW, owner)
    found.replace_peers([peer for peer in PEERS if peer.name != owner])
    assert found.unavailable_peers(NOW + 0.1) == frozenset()


def test_a_leaving_entry_owns_nothing():
    """
    A piece waits in an entry that ends. It went on taking itself for the owner after
    it had begun to leave.
    """
    owner = owner_as_seen_by(PEERS[0], "roster", CLUJ)
    (peer,) = [p for p in PEERS if p.name == owner]
    found = places_of(peer)
    assert found.owner(NOW, "roster", CLUJ) == ""
    found.leave()
    assert found.owner(NOW, "roster", CLUJ) not in ("", owner)


def test_an_entry_alone_owns_everything_also_as_it_leaves():
    found = places_of(PEERS[0], peers=[])
    found.leave()
    assert found.owner(NOW, "roster", IASI) == ""


CANDIDATES = {CLUJ: endpoint("c", place=CLUJ), IASI: endpoint("i", place=IASI)}


def test_pieces_run_near_unless_the_wait_is_longer():
    found = places_of(PEERS[0])
    assert found.best_data_centre(NOW, "roster", CANDIDATES) == CLUJ
    found.update_wait(NOW, "roster", CLUJ, 1.0)
    assert found.best_data_centre(NOW, "roster", CANDIDATES) == IASI


def test_large_results_are_worth_a_wait_to_a_request_that_can_spare_it():
    """
    Results of 1.5 MB cross regions on a calm day, where each is paid for by the byte,
    to save their request a tenth of a second of a whole one that it had left.
    """
    found = places_of(PEERS[0])
    found.update_wait(NOW, "roster", CLUJ, 0.2)
    assert found.best_data_centre(NOW, "roster", CANDIDATES, {CLUJ: 1.5e6}, 1.2) == CLUJ
    assert found.best_data_centre(NOW, "roster", CANDIDATES, {CLUJ: 1.5e6}, 0.2) == IASI
    assert found.best_data_centre(NOW, "roster", CANDIDATES, {CLUJ: 6e3}, 1.2) == IASI
    assert (
        found.best_data_centre(NOW, "roster", CANDIDATES, {CLUJ: 1.5e6}, -1.0) == IASI
    )


def test_a_slow_place_is_left_to_others_after_its_queue_is_gone():
    """
    An endpoint that works four times slower is always busy. Its queue and its speed
    were told as one wait, which had run out a second later.
    """
    found = places_of(PEERS[0])
    found.update_wait(NOW, "roster", CLUJ, 0.3, 1.1)
    assert found.best_data_centre(NOW + 2.0, "roster", CANDIDATES) == IASI
    assert found.best_data_centre(NOW + 30.0, "roster", CANDIDATES) == CLUJ


def test_waits_are_known_by_rank():
    """Urgent requests waited for one place beside another that let them pass."""
    found = places_of(PEERS[0])
    found.update_wait(NOW, "roster", CLUJ, 2.0, rank=2)
    assert found.best_data_centre(NOW, "roster", CANDIDATES, rank=1) == CLUJ
    assert found.best_data_centre(NOW, "roster", CANDIDATES, rank=2) == IASI
    found.update_wait(NOW, "roster", CLUJ, 1.0, rank=0)
    assert found.wait_s(NOW, "roster", CLUJ, 1) == 1.0
    assert found.wait_s(NOW, "roster", CLUJ, 2) == 2.0


def test_what_an_urgent_request_asks_for_counts_for_the_less_urgent():
    found = places_of(PEERS[0])
    found.update_wait(NOW, "roster", CLUJ, 0.2, rank=2)
    found.note_submitted(NOW, "roster", CLUJ, 0.5, rank=1)
    assert found.wait_s(NOW, "roster", CLUJ, 0) == 0.0
    assert found.wait_s(NOW, "roster", CLUJ, 1) == 0.5
    assert found.wait_s(NOW, "roster", CLUJ, 2) == pytest.approx(0.7)


def test_what_was_asked_for_counts_until_the_place_is_heard_of():
    """
    A burst goes to one data centre while two stand idle: nothing is heard of a place
    before its first call ends.
    """
    found = places_of(PEERS[0])
    for _ in range(20):
        found.note_submitted(NOW, "roster", CLUJ, 0.05)
    assert found.best_data_centre(NOW, "roster", CANDIDATES) == IASI


def test_a_place_that_failed_is_left_alone_and_tried_again():
    found = places_of(PEERS[0])
    found.note_failure(NOW, "roster", CLUJ)
    assert found.best_data_centre(NOW + 0.1, "roster", CANDIDATES) == IASI
    assert found.best_data_centre(NOW + 5.0, "roster", CANDIDATES) == CLUJ


def test_the_only_place_is_used_though_it_failed():
    found = places_of(PEERS[0])
    found.note_failure(NOW, "roster", CLUJ)
    assert found.best_data_centre(NOW, "roster", {CLUJ: CANDIDATES[CLUJ]}) == CLUJ
    assert found.best_data_centre(NOW, "roster", {}) is None
