"""Parts of prompts and requests in the messages between gateways."""

from types import SimpleNamespace

import pytest

from amaranthtally.policy import (
    PartEnd,
    PartNotice,
    PartState,
    PartSuccess,
    RequestKey,
)
from amaranthtally.wire import prompt_codec as codec

NOW = 100.0


class Message:
    """Keeps the items that a codec writes."""

    def init(self, name, count):
        self.items = [SimpleNamespace() for _ in range(count)]
        return self.items


def passed_on(write, read, values):
    message = Message()
    write(message, values, NOW)
    return read(message.items, NOW)


@pytest.mark.parametrize("part", [0x2F, 1 << 127, RequestKey(0x2F)])
def test_a_request_is_never_taken_for_a_part(part):
    """Guards against sound requests that are refused for the number of another."""
    notices = (PartNotice(part, PartState.BLOCKED, 2, 99.0, ("i-1/0",), "g1"),)
    ends = (PartEnd(part, "i-1/0", 99.0, 98.0, 3),)
    successes = (PartSuccess(part, 98.0, 99.0),)
    assert passed_on(codec.write_part_notices, codec.read_part_notices, notices) == (
        notices
    )
    assert passed_on(codec.write_part_ends, codec.read_part_ends, ends) == ends
    assert (
        passed_on(codec.write_part_successes, codec.read_part_successes, successes)
        == successes
    )
