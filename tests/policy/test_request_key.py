"""The identity of requests that are sent again under new ids."""

from amaranthtally.policy import request_key

BASE = ("POST", "api.example", "/chat/7", (1, 2, 3), b"body")


def test_the_same_content_has_the_same_key_at_all_entries():
    """Guards against tries of one request that look like many requests."""
    assert request_key(*BASE) == request_key(*BASE)
    assert str(request_key(*BASE)) == "e5bfbadc3b5432d29c71bc1213751e80"


def test_each_field_of_the_content_tells_requests_apart():
    """Guards against sound requests that are taken for another one."""
    others = [
        ("PUT", *BASE[1:]),
        ("POST", "other.example", *BASE[2:]),
        (*BASE[:2], "/chat/7?x=1", *BASE[3:]),
        (*BASE[:3], (1, 2, 4), BASE[4]),
        (*BASE[:4], b"bodies"),
        ("POST", "api.example/", "chat/7", *BASE[3:]),
    ]
    keys = {request_key(*BASE), *(request_key(*other) for other in others)}
    assert len(keys) == len(others) + 1
