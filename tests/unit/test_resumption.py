"""On which evidence a stream goes on whose origin no gateway knows."""

import asyncio
from dataclasses import replace

import pytest

from amaranthtally.adapter.messages import CallerRequest
from amaranthtally.daemon.gateway.peer_confirmation import PeerConfirmation
from amaranthtally.daemon.gateway.refusals import Refusal
from amaranthtally.daemon.gateway.resumption import Evidence, StreamResumption
from amaranthtally.daemon.gateway.stream_origin_tracker import OriginSearch
from amaranthtally.policy import (
    CallKind,
    OriginEntry,
    Route,
    StreamOrigin,
    WeightedPool,
)
from amaranthtally.wire import PeerLostError
from amaranthtally.wire.gateway_codec import GatewayStatus, Versions
from tests.support import run_async

ROUTE = Route(
    "job", "api", "/job/", CallKind.STREAMING, (WeightedPool("job", 1),), 4.0, 1.0
)
ORIGIN = StreamOrigin("job", "v1")


class Case:
    """A gateway's knowledge, and what its confirmation brings."""

    def __init__(self, evidence, versions=("v1",), is_asked=True):
        self.evidence = evidence
        self.versions = versions
        self.is_asked = is_asked
        self.route = ROUTE
        self.held = None
        self.brings = lambda: None
        self.confirmations = 0
        self.resumption = StreamResumption(
            self, self, self.confirm, lambda caller: self.route, self
        )

    async def confirm(self):
        self.confirmations += 1
        self.brings()
        return self.evidence

    def note(self, request_id, origin, expires_at):
        pass

    async def find(self, request_id):
        return OriginSearch(self.held, self.is_asked)

    def find_held(self, request_id):
        return self.held

    def sole_version(self, pool):
        return self.versions[0] if len(self.versions) == 1 else None

    def has_had_several(self, pool):
        return len(self.versions) > 1

    def is_served(self, pool, version):
        return True

    def stream_taken_up(self, source):
        pass

    async def take_up(self, resumes="first"):
        caller = CallerRequest("second", "api", "/job/")
        caller = replace(caller, last_event="1", resumed_request=resumes)
        return await self.resumption.origin_of(caller, ROUTE)


def check_refusal(result, may_be_retried):
    assert isinstance(result, Refusal)
    assert bool(result.retry_after_s) is may_be_retried


@pytest.mark.parametrize("resumes", ["first", ""])
def test_the_only_version_is_believed_on_evidence(resumes):
    """Guards against a guess without evidence, and a refusal with it."""

    async def check():
        for evidence in (Evidence.STORE, Evidence.PEERS):
            assert await Case(evidence, is_asked=False).take_up(resumes) == ORIGIN
        check_refusal(await Case(Evidence.NONE).take_up(resumes), may_be_retried=True)

    run_async(check())


@pytest.mark.parametrize("resumes", ["first", ""])
def test_a_second_version_that_the_confirmation_brings_is_heeded(resumes):
    """Guards against a decision on what was known when the request came."""

    async def check():
        case = Case(Evidence.STORE)
        case.brings = lambda: setattr(case, "versions", ("v1", "v2"))
        check_refusal(await case.take_up(resumes), may_be_retried=False)

    run_async(check())


def test_an_origin_that_the_confirmation_brings_is_used():
    """Guards against refusals of streams that the store knows, after a kill of all."""

    async def check():
        case = Case(Evidence.STORE, versions=("v1", "v2"), is_asked=False)
        entry = OriginEntry("first", ORIGIN, 1e6)
        case.brings = lambda: setattr(case, "held", entry)
        assert await case.take_up() == ORIGIN

    run_async(check())


def test_no_call_is_paid_for_what_newer_records_cannot_show():
    """Guards against a call to the store for each stream that is taken up."""

    async def check():
        known = Case(Evidence.STORE)
        known.held = OriginEntry("first", ORIGIN, 1e6)
        assert await known.take_up() == ORIGIN
        unnamed = Case(Evidence.STORE, versions=("v1", "v2"))
        check_refusal(await unnamed.take_up(""), may_be_retried=False)
        assert known.confirmations == unnamed.confirmations == 0

    run_async(check())


def test_a_route_that_moves_meanwhile_is_looked_up_anew():
    """Guards against a stream of one pool that goes on at another one."""

    async def check():
        case = Case(Evidence.STORE)
        moved = replace(ROUTE, targets=(WeightedPool("other", 1),))
        case.brings = lambda: setattr(case, "route", moved)
        check_refusal(await case.take_up(), may_be_retried=True)

    run_async(check())


@pytest.mark.parametrize(
    ("statuses", "is_read", "is_confirmed"),
    [
        ([7, 7], True, True),
        ([7, 0], True, False),
        ([7, None], True, False),
        ([7, 9], True, True),
        ([7, 9], False, False),
        ([], True, False),
    ],
    ids=["all", "just started", "silent", "newer", "newer, not read", "alone"],
)
def test_peers_confirm_only_together(statuses, is_read, is_confirmed):
    """Guards against the word of some of the peers, or of one that knows nothing."""

    class Connections:
        async def exchange_status(self, peer, versions):
            if statuses[peer] is None:
                raise PeerLostError(str(peer), "no answer in time")
            return GatewayStatus(Versions(records=statuses[peer]))

    async def read_missing(peer, versions):
        return versions.records == 7 or is_read

    async def check():
        tasks = []
        confirmation = PeerConfirmation(
            Connections(),
            lambda: range(len(statuses)),
            Versions,
            read_missing,
            lambda work: tasks.append(asyncio.create_task(work)),
        )
        assert await confirmation.confirm(1.0) is is_confirmed

    run_async(check())
