"""Tests of the ownership of pool sites, and of where pieces run."""

import pytest

from amaranthtally.policy import Peer, pool_sites
from amaranthtally.policy.pool_sites import PoolSites
from amaranthtally.policy.rendezvous import rendezvous_weight
from tests.policy.pieces import CLUJ, IASI, endpoint

PEERS = [
    Peer(f"entry-{centre}-{n}", centre) for centre in (CLUJ, IASI) for n in range(3)
]
NOW = 1.0


def sites_of(peer, peers=PEERS):
    sites = PoolSites()
    sites.configure(peer.name, peer.data_centre, peer.data_centre)
    sites.replace_peers(peers)
    return sites


def owner_as_seen_by(peer, *args, **options):
    return sites_of(peer, **options).owner(NOW, *args) or peer.name


@pytest.mark.parametrize("pool", ["catalogue", "roster", "ledger"])
def test_all_entries_agree_on_one_owner_in_the_same_data_centre(pool):
    """
    When six entries call one endpoint, a fifth of their calls are refused. Each entry
    computes the owner from the same list, without communication.
    """
    owners = {owner_as_seen_by(peer, pool, CLUJ) for peer in PEERS}
    assert len(owners) == 1
    assert owners < {peer.name for peer in PEERS if peer.data_centre == CLUJ}


def test_without_an_entry_in_the_data_centre_another_owns_it():
    elsewhere = [peer for peer in PEERS if peer.data_centre == IASI]
    owners = {owner_as_seen_by(p, "roster", CLUJ, peers=elsewhere) for p in elsewhere}
    assert len(owners) == 1


def test_the_entries_are_ranked_once_for_many_pieces(monkeypatch):
    """Guards against work for each piece that grows with the number of entries."""
    ranked = []

    def weight(name, key):
        ranked.append(name)
        return rendezvous_weight(name, key)

    monkeypatch.setattr(pool_sites, "rendezvous_weight", weight)
    many = [Peer(f"entry-{n}", (CLUJ, IASI)[n % 2]) for n in range(300)]
    sites = sites_of(many[0], peers=many)
    owner = sites.owner(NOW, "roster", CLUJ)
    before = len(ranked)
    sites.peer_failed(NOW, owner)
    assert sites.owner(NOW + 1.0, "roster", CLUJ) != owner
    assert sites.owner(NOW + 10.0, "roster", CLUJ) == owner
    assert len(ranked) == before
    sites.replace_peers([peer for peer in many if peer.name != owner])
    assert sites.owner(NOW + 10.0, "roster", CLUJ) != owner


def test_a_leaving_entry_owns_a_site_only_if_it_is_alone():
    sites = sites_of(PEERS[0])
    sites.leave()
    for pool in ("catalogue", "roster", "ledger"):
        assert sites.owner(NOW, pool, CLUJ)
    sites.replace_peers([])
    assert not sites.owner(NOW, "roster", CLUJ)


def test_a_peer_that_does_not_answer_owns_nothing_for_a_while():
    sites = sites_of(PEERS[5])
    owner = sites.owner(NOW, "roster", CLUJ)
    sites.peer_failed(NOW, owner)
    assert sites.owner(NOW + 1.0, "roster", CLUJ) != owner
    assert sites.owner(NOW + 10.0, "roster", CLUJ) == owner


def test_a_peer_that_answers_again_owns_its_endpoints_at_once():
    """
    After a loss of power, all entries start again within half a second. The first one
    finds the ports of the others closed. It avoided them for three seconds, so that two
    entries called each endpoint, and their calls competed for its queue and memory.
    """
    sites = sites_of(PEERS[5])
    owner = sites.owner(NOW, "roster", CLUJ)
    sites.peer_failed(NOW, owner)
    assert sites.unavailable_peers(NOW + 0.1) == {owner}
    sites.peer_recovered(owner)
    assert sites.unavailable_peers(NOW + 0.1) == frozenset()
    assert sites.owner(NOW + 0.1, "roster", CLUJ) == owner


def test_a_peer_that_was_removed_is_not_listed_as_unavailable():
    sites = sites_of(PEERS[5])
    owner = sites.owner(NOW, "roster", CLUJ)
    sites.peer_failed(NOW, owner)
    sites.replace_peers([peer for peer in PEERS if peer.name != owner])
    assert sites.unavailable_peers(NOW + 0.1) == frozenset()


def test_a_leaving_entry_owns_nothing():
    """
    An entry that was shutting down still took itself for the owner, and pieces were
    queued there.
    """
    owner = owner_as_seen_by(PEERS[0], "roster", CLUJ)
    (peer,) = [p for p in PEERS if p.name == owner]
    sites = sites_of(peer)
    assert sites.owner(NOW, "roster", CLUJ) == ""
    sites.leave()
    assert sites.owner(NOW, "roster", CLUJ) not in ("", owner)


def test_the_only_entry_owns_everything_even_while_it_leaves():
    sites = sites_of(PEERS[0], peers=[])
    sites.leave()
    assert sites.owner(NOW, "roster", IASI) == ""


CANDIDATES = {
    CLUJ: endpoint("c", data_centre=CLUJ),
    IASI: endpoint("i", data_centre=IASI),
}


def test_pieces_run_in_the_own_data_centre_unless_the_wait_is_longer():
    sites = sites_of(PEERS[0])
    assert sites.best_data_centre(NOW, "roster", CANDIDATES) == CLUJ
    sites.update_wait(NOW, "roster", CLUJ, 1.0)
    assert sites.best_data_centre(NOW, "roster", CANDIDATES) == IASI


def test_a_request_with_spare_time_waits_to_keep_large_results_local():
    """
    At low load, results of 1.5 MB crossed regions, which is paid for by the byte, to
    save a tenth of a second for requests that had a whole second to spare.
    """
    sites = sites_of(PEERS[0])
    sites.update_wait(NOW, "roster", CLUJ, 0.2)
    assert sites.best_data_centre(NOW, "roster", CANDIDATES, {CLUJ: 1.5e6}, 1.2) == CLUJ
    assert sites.best_data_centre(NOW, "roster", CANDIDATES, {CLUJ: 1.5e6}, 0.2) == IASI
    assert sites.best_data_centre(NOW, "roster", CANDIDATES, {CLUJ: 6e3}, 1.2) == IASI
    assert (
        sites.best_data_centre(NOW, "roster", CANDIDATES, {CLUJ: 1.5e6}, -1.0) == IASI
    )


def test_a_slow_site_is_avoided_after_its_queue_has_drained():
    """
    An endpoint that worked four times slower was always busy. Its queue and its
    slowness were reported as one wait, which had elapsed a second later.
    """
    sites = sites_of(PEERS[0])
    sites.update_wait(NOW, "roster", CLUJ, 0.3, 1.1)
    assert sites.best_data_centre(NOW + 2.0, "roster", CANDIDATES) == IASI
    assert sites.best_data_centre(NOW + 30.0, "roster", CANDIDATES) == CLUJ


def test_waits_are_recorded_by_rank():
    """Urgent requests waited at one site while another would let them go first."""
    sites = sites_of(PEERS[0])
    sites.update_wait(NOW, "roster", CLUJ, 2.0, rank=2)
    assert sites.best_data_centre(NOW, "roster", CANDIDATES, rank=1) == CLUJ
    assert sites.best_data_centre(NOW, "roster", CANDIDATES, rank=2) == IASI
    sites.update_wait(NOW, "roster", CLUJ, 1.0, rank=0)
    assert sites.wait_s(NOW, "roster", CLUJ, 1) == 1.0
    assert sites.wait_s(NOW, "roster", CLUJ, 2) == 2.0


def test_submitted_pieces_add_to_the_waits_of_less_urgent_ranks():
    sites = sites_of(PEERS[0])
    sites.update_wait(NOW, "roster", CLUJ, 0.2, rank=2)
    sites.note_submitted(NOW, "roster", CLUJ, 0.5, rank=1)
    assert sites.wait_s(NOW, "roster", CLUJ, 0) == 0.0
    assert sites.wait_s(NOW, "roster", CLUJ, 1) == 0.5
    assert sites.wait_s(NOW, "roster", CLUJ, 2) == pytest.approx(0.7)


def test_submitted_pieces_add_to_the_wait_until_the_next_report():
    """
    A burst went to one data centre while two others were idle, as there is no report
    from a site before its first call ends.
    """
    sites = sites_of(PEERS[0])
    for _ in range(20):
        sites.note_submitted(NOW, "roster", CLUJ, 0.05)
    assert sites.best_data_centre(NOW, "roster", CANDIDATES) == IASI


def test_a_site_that_failed_is_avoided_and_tried_again_later():
    sites = sites_of(PEERS[0])
    sites.note_failure(NOW, "roster", CLUJ)
    assert sites.best_data_centre(NOW + 0.1, "roster", CANDIDATES) == IASI
    assert sites.best_data_centre(NOW + 5.0, "roster", CANDIDATES) == CLUJ


def test_the_only_site_is_used_though_it_failed():
    sites = sites_of(PEERS[0])
    sites.note_failure(NOW, "roster", CLUJ)
    assert sites.best_data_centre(NOW, "roster", {CLUJ: CANDIDATES[CLUJ]}) == CLUJ
    assert sites.best_data_centre(NOW, "roster", {}) is None
