"""Ranks of requests by the priorities of their accounts and routes."""

from amaranthtally.policy import Account, CallKind, Route, request_rank

URGENT_ACCOUNT, OTHER_ACCOUNT = Account("a", 0), Account("b", 1)


def route(priority):
    return Route("r", "h", "/", CallKind.STREAMING, (), 8.0, 2.0, priority=priority)


def ranks(*pairs):
    return [request_rank(route(priority), account) for priority, account in pairs]


def test_route_priority_ranks_accounts_of_equal_priority():
    """
    All accounts had the same priority, and those of the routes were ignored: the route
    of the highest priority was on time less often in a burst than all others.
    """
    ranked = ranks((0, OTHER_ACCOUNT), (1, OTHER_ACCOUNT), (2, OTHER_ACCOUNT))
    assert ranked == sorted(set(ranked))


def test_account_priority_precedes_route_priority():
    ranked = ranks((2, URGENT_ACCOUNT), (0, OTHER_ACCOUNT))
    assert ranked == sorted(set(ranked))


def test_route_priority_replaces_a_missing_account_priority():
    ranked = ranks((0, None), (0, OTHER_ACCOUNT), (2, None), (2, Account("c")))
    assert ranked[0] < ranked[1] < ranked[2] == ranked[3]


def test_priorities_are_clamped_and_ranks_fit_two_bytes():
    (largest,) = ranks((10**6, Account("d", 10**9)))
    assert ranks((99, Account("e", 99))) == [largest]
    assert largest < 2**16
    assert ranks((-5, Account("f", -5))) == [0]


def test_a_stream_that_goes_on_precedes_new_requests_of_its_account():
    """Guards against callers that lose what they have read of a stream in a burst."""
    resumed = request_rank(route(2), OTHER_ACCOUNT, is_resumed=True)
    assert resumed < request_rank(route(1), OTHER_ACCOUNT)
    assert resumed > request_rank(route(2), URGENT_ACCOUNT)
