"""What a gateway does with a configuration that it reads."""

import json

from amaranthtally.daemon.gateway import configuration_follower
from amaranthtally.daemon.gateway.configuration_follower import ConfigurationFollower
from tests.gateway.support import configuration, route
from tests.support import run_async


def document(version):
    return json.dumps(configuration(version, route("work"))).encode()


def test_a_document_that_is_in_force_is_not_read_again(monkeypatch):
    """Guards against loops that stand still for a large document read anew."""
    read = []
    real = configuration_follower.read_configuration

    def counting(value):
        read.append(value)
        return real(value)

    monkeypatch.setattr(configuration_follower, "read_configuration", counting)

    async def check():
        tables = []
        follower = ConfigurationFollower(tables.append)
        for _ in range(5):
            follower.take(document(3), "store")
        assert len(tables) == len(read) == 1

    run_async(check())


def test_a_gateway_is_behind_from_the_first_word_of_a_newer_version():
    async def check():
        follower = ConfigurationFollower(lambda table: None)
        follower.take(document(3), "store")
        assert follower.behind_s == 0.0
        follower.hear_of(5, "a-peer")
        first = follower.behind_s
        follower.hear_of(7, "a-peer")
        follower.take(document(5), "store")
        assert follower.heard == 7
        assert follower.behind_s >= first
        follower.take(document(7), "store")
        assert follower.behind_s == 0.0

    run_async(check())
