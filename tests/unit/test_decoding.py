"""Decoders of data from outside: whatever the bytes are, nothing is raised."""

import json

import pytest
from hypothesis import given, settings, strategies as st
from msgspec import Struct

from amaranthtally.decoding import (
    MAX_CAUSE_LENGTH,
    MAX_NESTING,
    DecodeBounds,
    DecodeFault,
    decode_base64,
    decode_json,
    decode_msgpack,
)
from amaranthtally.decoding.nesting import is_nested_deeper

RUNS = settings(max_examples=300, derandomize=True, deadline=None)
KINDS = st.sampled_from([object, int, str, list[str], dict[str, float]])
# Strings full of what a scan could take for structure.
TEXTS = st.text('[]{}"\\x', max_size=6)
VALUES = st.recursive(
    TEXTS | st.integers(),
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(TEXTS, inner, max_size=4)
    ),
    max_leaves=20,
)
NESTED = {
    "arrays": b"[" * 4000 + b"]" * 4000,
    "ignored": b'{"a":1,"x":' + b"[" * 4000 + b"]" * 4000 + b"}",
    "objects": b'{"a":' * 4000 + b"1" + b"}" * 4000,
    "unclosed": b"[" * 4000,
}


class Known(Struct):
    a: int = 0


def depth_of(value):
    if isinstance(value, dict):
        value = list(value.values())
    if not isinstance(value, list):
        return 0
    return 1 + max(map(depth_of, value), default=0)


@RUNS
@given(VALUES, st.integers(0, 6), st.booleans())
def test_the_scan_finds_the_depth_of_sound_data(value, levels, ascii_only):
    """Guards against brackets in strings that count, and others that do not."""
    data = json.dumps(value, ensure_ascii=ascii_only).encode()
    assert is_nested_deeper(data, levels) is (depth_of(value) > levels)


@RUNS
@given(st.binary() | st.text('[]{}"\\,:1', max_size=40).map(str.encode), KINDS)
def test_no_bytes_raise(data, kind):
    """Guards against an exception that ends the task that decodes."""
    for result in (
        decode_json(data, kind),
        decode_msgpack(data, kind),
        decode_base64(data),
    ):
        if result.is_err():
            assert 0 < len(str(result.err_value)) <= MAX_CAUSE_LENGTH


@pytest.mark.parametrize("name", NESTED)
def test_nesting_is_refused_before_a_decoder_fails_on_it(name):
    """Guards against RecursionError, which no decoder's error covers."""
    for kind in (Known, object, list[str]):
        error = decode_json(NESTED[name], kind).unwrap_err()
        assert error.fault is DecodeFault.TOO_DEEP


def test_the_deepest_nesting_that_is_allowed_is_decoded():
    data = b"[" * MAX_NESTING + b"]" * MAX_NESTING
    assert decode_json(data, object).is_ok()
    assert decode_json(b"[" + data + b"]", object).is_err()


def test_nested_msgpack_is_refused():
    """Guards against RecursionError from documents of peers."""
    error = decode_msgpack(b"\x91" * 4000 + b"\x01", object).unwrap_err()
    assert error.fault is DecodeFault.TOO_DEEP


def test_data_over_its_size_is_refused():
    bounds = DecodeBounds(size_bytes=3)
    for decode in (decode_json, decode_msgpack):
        assert decode(b"1234", int, bounds).err_value.fault is DecodeFault.TOO_LARGE
        assert decode(b"1", int, bounds).is_ok()


def test_an_error_that_nobody_expected_is_returned():
    """Guards against a list of the exceptions that came to mind."""
    error = decode_json(b"1", "no type").unwrap_err()
    assert error.fault is DecodeFault.FAILED
