"""The endpoint directory during and after outages of the registry."""

from amaranthtally.policy import Endpoint, EndpointDirectory


def endpoint(name, **options):
    return Endpoint(name, "pool", "h", "r", "d", "10.0.0.1:1", **options)


def directory_of(*names):
    directory = EndpointDirectory()
    directory.replace(0.0, [endpoint(name) for name in names])
    return directory


def test_an_endpoint_is_removed_with_its_record():
    directory = directory_of("a", "b")
    directory.record_removed(1.0, "a")
    assert set(directory.endpoints) == {"b"}


def test_endpoints_whose_records_expired_in_an_outage_are_retained():
    """
    Records expire during an outage of the registry. Afterwards it has no records until
    the endpoints register again; without endpoints, every request would be refused for
    two seconds.
    """
    directory = directory_of("a", "b")
    directory.connection_lost()
    directory.connection_restored(10.0)
    directory.replace(10.0, [])
    assert set(directory.endpoints) == {"a", "b"}
    directory.put(endpoint("a"))
    assert not directory.expire(11.9)
    assert directory.expire(12.1)
    assert set(directory.endpoints) == {"a"}


def test_endpoints_removed_just_after_an_outage_are_retained():
    directory = directory_of("a")
    directory.connection_lost()
    directory.connection_restored(10.0)
    directory.record_removed(10.5, "a")
    assert set(directory.endpoints) == {"a"}
    directory.expire(12.1)
    assert set(directory.endpoints) == set()


def test_an_endpoint_that_leaves_during_an_outage_takes_no_calls():
    directory = directory_of("a")
    directory.connection_lost()
    directory.connection_restored(10.0)
    directory.put(endpoint("a", takes_calls=False))
    assert not directory.endpoints["a"].takes_calls


def test_removals_apply_at_once_without_an_outage():
    directory = directory_of("a")
    directory.connection_restored(10.0)
    directory.replace(10.0, [])
    assert set(directory.endpoints) == set()
