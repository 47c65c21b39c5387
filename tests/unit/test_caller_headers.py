"""Decoding of callers' headers."""

import pytest
from hypothesis import given, settings, strategies as st
from multidict import CIMultiDict
from result import Err

from amaranthtally.adapter import headers as names
from amaranthtally.adapter.callers import MAX_PIECES, read_caller_request, request_id_of

NUMBERS = st.one_of(
    st.integers().map(str),
    st.integers(0, 400).map(lambda digits: "1" + "0" * digits),
    st.floats().map(str),
    st.text(alphabet="0123456789abcdefABCDEF,:.-+e²_ \t", max_size=40),
)
HEADERS = st.fixed_dictionaries(
    {},
    optional={
        names.DEADLINE_MS: NUMBERS,
        names.PROMPT_TOKENS: st.lists(NUMBERS, max_size=3).map(",".join),
        names.PROMPT_PARTS: st.lists(NUMBERS, max_size=3).map("a:".join),
        names.CHUNK_COUNTS: st.lists(NUMBERS, max_size=3).map(",".join),
    },
)


@settings(derandomize=True, deadline=None)
@given(HEADERS)
def test_numbers_in_headers_are_in_range_or_refused(headers):
    """Guards against numbers that overflow or block the process when they are used."""
    decoded = read_caller_request(CIMultiDict(headers, **{names.REQUEST_ID: "r"}), "/")
    if isinstance(decoded, Err):
        return
    caller = decoded.ok_value
    assert sum(caller.piece_counts) <= MAX_PIECES
    counts = [part.tokens for part in caller.prompt]
    for count in [*counts, caller.prompt_tokens, caller.output_tokens]:
        assert 0 <= float(count) < 1e9


@pytest.mark.parametrize(
    "name",
    [
        names.REQUEST_ID,
        names.LAST_EVENT_ID,
        names.RESUMED_REQUEST,
        names.CHUNK_KEY,
        names.PROMPT_PARTS,
    ],
)
def test_an_id_that_is_not_utf_8_is_refused(name):
    """Guards against an id that makes records and messages of other requests raise."""
    headers = CIMultiDict({names.REQUEST_ID: "r"} | {name: "a\udcff"})
    cause = read_caller_request(headers, "/").unwrap_err()
    # Both go into the refusal.
    assert (cause + request_id_of(headers)).encode()
