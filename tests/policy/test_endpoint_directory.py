"""Registered endpoints while their register comes and goes."""

from amaranthtally.policy import Endpoint, EndpointDirectory


def endpoint(name, **options):
    return Endpoint(name, "pool", "h", "r", "d", "10.0.0.1:1", **options)


def directory(*names):
    found = EndpointDirectory()
    found.replace(0.0, [endpoint(name) for name in names])
    return found


def test_a_record_that_is_removed_names_no_endpoint():
    found = directory("a", "b")
    found.record_removed(1.0, "a")
    assert set(found.endpoints) == {"b"}


def test_records_that_ran_out_with_the_register_away_are_waited_for():
    """
    Every request is refused for two seconds. Records run out while the register is
    away; on its return it names no endpoint until they have written again.
    """
    found = directory("a", "b")
    found.connection_lost()
    found.connection_restored(10.0)
    found.replace(10.0, [])
    assert set(found.endpoints) == {"a", "b"}
    found.put(endpoint("a"))
    assert not found.expire(11.9)
    assert found.expire(12.1)
    assert set(found.endpoints) == {"a"}


def test_a_removal_just_after_the_return_is_waited_for_too():
    found = directory("a")
    found.connection_lost()
    found.connection_restored(10.0)
    found.record_removed(10.5, "a")
    assert set(found.endpoints) == {"a"}
    found.expire(12.1)
    assert set(found.endpoints) == set()


def test_an_endpoint_that_leaves_meanwhile_takes_no_calls():
    found = directory("a")
    found.connection_lost()
    found.connection_restored(10.0)
    found.put(endpoint("a", takes_calls=False))
    assert not found.endpoints["a"].takes_calls


def test_a_register_that_was_never_away_is_believed_at_once():
    found = directory("a")
    found.connection_restored(10.0)
    found.replace(10.0, [])
    assert set(found.endpoints) == set()
