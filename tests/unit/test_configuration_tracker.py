"""What a gateway does with a configuration that it reads."""

import json

from amaranthtally.daemon.gateway import configuration_tracker
from amaranthtally.daemon.gateway.configuration_tracker import ConfigurationTracker
from tests.gateway.support import configuration, route
from tests.support import run_async


def document(version):
    return json.dumps(configuration(version, route("work"))).encode()


def test_a_document_that_is_in_force_is_not_read_again(monkeypatch):
    """Guards against loops that stand still for a large document read anew."""
    read = []
    real = configuration_tracker.read_configuration

    def counting(value):
        read.append(value)
        return real(value)

    monkeypatch.setattr(configuration_tracker, "read_configuration", counting)

    async def check():
        tables = []
        follower = ConfigurationTracker(tables.append)
        for _ in range(5):
            follower.apply(document(3), "store")
        assert len(tables) == len(read) == 1

    run_async(check())


def test_a_gateway_is_behind_from_the_first_word_of_a_newer_version():
    async def check():
        follower = ConfigurationTracker(lambda table: None)
        follower.apply(document(3), "store")
        assert follower.behind_s == 0.0
        follower.note_version(5, "a-peer")
        first = follower.behind_s
        follower.note_version(7, "a-peer")
        follower.apply(document(5), "store")
        assert follower.newest_known == 7
        assert follower.behind_s >= first
        follower.apply(document(7), "store")
        assert follower.behind_s == 0.0

    run_async(check())
