"""Round trips of messages through the codecs of the sidecar protocol."""

import pytest

from amaranthtally.wire import (
    AtMostOnceTerms,
    CacheUpdate,
    CallId,
    Load,
    ModelState,
    StageCall,
    StageReply,
    Status,
)
from amaranthtally.wire.codec import (
    read_call,
    read_reply,
    schema,
    write_call,
    write_reply,
)
from amaranthtally.wire.messages import StreamPart
from amaranthtally.wire.stream_codec import read_part, write_parts

ID = CallId("0123456789abcdef", 3, 2)
CALL = StageCall(
    id=ID,
    account="farm",
    stage_name="dispatch",
    input=b'{"input": 1}',
    remaining_s=1.5,
    priority=7,
    streaming=True,
    resume_offset=4,
    model="drafts",
    revision=1 << 40,
    cache_serial=1 << 33,
)
AT_MOST_ONCE_CALL = StageCall(
    id=ID,
    account="farm",
    stage_name="dispatch",
    input=b"",
    remaining_s=0.25,
    repeatable=False,
    terms=AtMostOnceTerms(1 << 62, 12.5, 3, "digest"),
    call_key="order-1",
)


@pytest.mark.parametrize("call", [CALL, AT_MOST_ONCE_CALL])
def test_calls_round_trip(call):
    target = schema.StageCall.new_message()
    write_call(target, call)
    assert read_call(target.as_reader()) == call


@pytest.mark.parametrize("status", Status)
def test_replies_round_trip(status):
    models = ModelState(frozenset({"drafts@2", "drafts"}), "decode", "unloaded")
    load = Load(1 << 62, 1, 2, 3, True, 0.5, 0.25, 1 << 40, 8.125, models)
    update = CacheUpdate(1 << 33, (1, 1 << 63), (2,), True)
    reply = StageReply(ID, status, b"1", "why", 0.5, load, 0.125, 2.5, True, 6, update)
    target = schema.StageReply.new_message()
    write_reply(target, reply)
    assert read_reply(target.as_reader()) == reply


def test_stream_parts_round_trip():
    parts = [StreamPart(1, ID, 9, ["né ", "b "]), StreamPart(2, ID, 0, [""])]

    class Request:
        def __init__(self):
            self.parts = []

        def init(self, _, size):
            self.parts = [schema.StreamPart.new_message() for _ in range(size)]
            return self.parts

    request = Request()
    write_parts(request, parts)
    assert [read_part(part.as_reader()) for part in request.parts] == parts
