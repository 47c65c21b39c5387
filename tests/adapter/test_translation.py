"""Decoding and encoding of the messages of the users' platform."""

import json

import pytest
from multidict import CIMultiDict
from result import Ok

from amaranthtally.adapter import headers as names, pieces, store
from amaranthtally.adapter.callers import read_caller_request, request_headers
from amaranthtally.adapter.configuration import read_configuration
from amaranthtally.adapter.messages import EndpointLoad, PromptPart, SystemHeaders
from amaranthtally.adapter.responses import read_response_head
from amaranthtally.adapter.servers import read_endpoint
from amaranthtally.policy import (
    CallKind,
    PieceFault,
    PieceSpec,
    PieceStage,
    WeightedPool,
)

ROUTE = {
    "name": "r",
    "host": "API.example",
    "prefix": "/a/",
    "type": "streaming",
    "timeoutMs": 8000,
    "latencySloMs": 1800,
    "itlTargetMs": 500,
    "priority": 1,
    "maxAttempts": 2,
    "split": [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}],
    "phases": [{"service": "p", "after": [], "sizeBytes": 1500000}],
    "resumable": True,
    "unknown": 1,
}
SERVICE = {
    "name": "p",
    "segments": {
        "slots": 1,
        "queue": 2,
        "batch": 8,
        "callMs": 200.0,
        "itemMs": 21.25,
        "headroomMb": 17.6,
        "handleTtlS": 4.0,
    },
}


def table_of(**fields):
    body = json.dumps({"version": 7} | fields).encode()
    return read_configuration(body).unwrap()


# Configuration


def test_a_route_is_decoded():
    (route,) = table_of(routes=[ROUTE]).routes
    assert route.kind is CallKind.STREAMING
    assert (route.timeout_s, route.objective_s, route.max_event_gap_s) == (
        8.0,
        1.8,
        0.5,
    )
    assert route.targets == (WeightedPool("s", 90.0), WeightedPool("t", 10.0))
    assert route.stages == (PieceStage("p", (), 1.5e6),)
    assert route.is_repeatable


def test_a_streams_caller_timeout_is_the_longest_of_three_times():
    def patience_s(**fields):
        return table_of(routes=[ROUTE | fields]).routes[0].caller_timeout_s

    assert patience_s(latencySloMs=2300, itlTargetMs=500) == 9.2
    assert patience_s(latencySloMs=500, itlTargetMs=900) == 7.2
    assert patience_s(latencySloMs=100, itlTargetMs=100) == 2.0
    assert patience_s(type="idempotent") == 0.0


def test_only_idempotent_and_resumable_routes_may_repeat():
    kinds = {
        ("idempotent", False): True,
        ("non_idempotent", False): False,
        ("streaming", False): False,
        ("streaming", True): True,
    }
    for (kind, resumable), expected in kinds.items():
        route = ROUTE | {"type": kind, "resumable": resumable}
        assert table_of(routes=[route]).routes[0].is_repeatable is expected


def test_the_route_with_the_longest_matching_prefix_is_chosen():
    longer = ROUTE | {"name": "longer", "prefix": "/a/b/"}
    table = table_of(routes=[ROUTE, longer])
    assert table.match("api.example", "/a/b/c").name == "longer"
    assert table.match("api.EXAMPLE", "/a/bc").name == "r"
    assert table.match("api.example", "/ab/") is None
    assert table.match("other.example", "/a/") is None


def test_piece_limits_are_decoded():
    limits = table_of(services=[SERVICE]).pools["p"].pieces
    assert (limits.batch, limits.memory_bytes, limits.result_ttl_s) == (8, 17.6e6, 4.0)
    assert limits.full_call_time_s() == pytest.approx(0.37)


def test_keys_identify_accounts_and_are_required_with_tenants():
    tenants = [{"name": "t", "apiKeys": ["k1", "k2"], "priority": 3}]
    table = table_of(tenants=tenants)
    assert table.needs_keys
    assert table.account_of("k2").name == "t"
    assert table.account_of("k3") is None
    assert not table_of().needs_keys


def test_a_malformed_configuration_is_an_error():
    for body in (b"", b"[]", b'{"version": "x"}', b"\xff"):
        assert read_configuration(body).is_err()


HUGE = 10**310


BAD_ROUTES = [("timeoutMs", value) for value in (HUGE, -1, 1e308)]
BAD_ROUTES += [("latencySloMs", -0.5), ("itlTargetMs", HUGE)]
BAD_ROUTES += [("priority", HUGE), ("maxAttempts", -HUGE)]
# Weights of a split, and the phases that each phase comes after.
BAD_ROUTES += [
    ("split", [{"service": "s", "weight": weight} for weight in weights])
    for weights in ([-1], [0, 0])
]
BAD_ROUTES += [
    ("phases", [{"service": "p", "after": [index]} for index in after])
    for after in ([1], [-1], [0], [1, 0])
]
BAD_ROUTES += [("phases", [{"service": "p", "sizeBytes": HUGE}])]


@pytest.mark.parametrize("field, value", BAD_ROUTES)
def test_a_route_out_of_range_is_refused_by_its_field(field, value):
    """Guards against a configuration in force with which every request fails."""
    body = json.dumps({"version": 7, "routes": [ROUTE | {field: value}]}).encode()
    assert field in read_configuration(body).unwrap_err()


@pytest.mark.parametrize(
    "fields",
    [
        {"version": -1},
        {"version": HUGE},
        {"version": 2**53},
        {"services": [SERVICE | {"coldStartS": -1.0}]},
        {"services": [SERVICE | {"coldPerS": 1e300}]},
        {"services": [SERVICE | {"maxConnections": HUGE}]},
        {"services": [SERVICE | {"runtime": {"kvCapacity": -1}}]},
        {"services": [SERVICE | {"segments": {"headroomMb": 1e308}}]},
        {"limits": {"idleTimeoutMs": -1}},
        {"limits": {"maxBodyBytes": HUGE}},
        {"tenants": [{"name": "t", "priority": HUGE}]},
        {"tenants": [{"name": "t\n"}]},
        {"tenants": [{"name": "t\r\nX: y"}]},
    ],
)
def test_a_configuration_out_of_range_is_refused(fields):
    """Guards against numbers and names that no message or header can carry."""
    body = json.dumps({"version": 7} | fields).encode()
    assert read_configuration(body).is_err()


@pytest.mark.parametrize("text", ["NaN", "Infinity", "1e999", "[" * 300 + "]" * 300])
def test_a_number_that_is_none_is_refused(text):
    body = '{"version":7,"routes":[],"x":1,"limits":{"idleTimeoutMs":' + text + "}}"
    assert read_configuration(body.encode()).is_err()


# Endpoints


RECORD = {
    "service": "s",
    "address": "10.0.0.9:8080",
    "zone": "cluj-a",
    "slots": 128,
    "state": "ready",
    "born": 17,
}


def read_record(**fields):
    value = json.dumps(RECORD | fields).encode()
    return read_endpoint("servers/i-1", value, {"cluj-a": "transilvania"})


def test_a_record_is_decoded():
    endpoint = read_record().unwrap()
    assert (endpoint.id, endpoint.pool, endpoint.address) == (
        "i-1",
        "s",
        "10.0.0.9:8080",
    )
    assert (endpoint.region, endpoint.data_centre) == ("transilvania", "cluj-a")
    assert (endpoint.slots, endpoint.incarnation, endpoint.takes_calls) == (
        128,
        17,
        True,
    )
    assert not read_record(state="draining").unwrap().takes_calls


def test_a_restarted_endpoint_with_the_same_id_is_a_different_one():
    assert not read_record().unwrap().is_same_server(read_record(born=18).unwrap())


@pytest.mark.parametrize(
    "fields",
    [{"state": "gone"}, {"address": "x"}, {"slots": "many"}, {"service": None}],
)
def test_a_malformed_record_is_an_error(fields):
    assert read_record(**fields).is_err()


BAD_PORTS = ["0", "65536", "000080", "+80", "\u00b2", "\u0661", "80\n", ""]
BAD_HOSTS = [
    "10.0.0.9\r\n",
    "a..b",
    ".a",
    "a.",
    "-a",
    "a b",
    "a\x00",
    "::1",
    "[::1",
    "",
]
BAD_HOSTS += [
    "[::x]",
    "[fe80::1%a\n]",
    "user@a",
    "10.0.0.9/x",
    "a" * 64,
    "a." * 127 + "a",
    "10.0.0.256",
    ".".join(["a" * 50] * 5),
]
BAD_VALUES = [("slots", value) for value in (-1, 65_537, HUGE)]
BAD_VALUES += [("born", value) for value in (-1, 2**53, HUGE)]
BAD_VALUES += [("coldLeftMs", value) for value in (1.1e12, HUGE)]
BAD_VALUES += [("address", f"10.0.0.9:{port}") for port in BAD_PORTS]
BAD_VALUES += [("address", f"{host}:80") for host in BAD_HOSTS]


@pytest.mark.parametrize("field, value", BAD_VALUES)
def test_a_record_out_of_range_names_its_field(field, value):
    """Guards against an endpoint whose load overflows or where nothing can listen."""
    assert field in read_record(**{field: value}).unwrap_err()


@pytest.mark.parametrize("end", ["\n", "\r\nX: y", "\x00", "\x7f"])
def test_an_endpoint_id_that_no_header_can_hold_is_an_error(end):
    """Guards against an endpoint to which every call raises."""
    value = json.dumps(RECORD).encode()
    assert "key" in read_endpoint(f"servers/i-{end}", value, {}).unwrap_err()


@pytest.mark.parametrize(
    "address", ["10.0.0.9:1", "[::1]:65535", "i-1.cluj-a.example:80", "host_1:8080"]
)
def test_an_address_in_range_is_kept(address):
    assert read_record(address=address).unwrap().address == address


def test_zero_slots_count_as_one_and_a_negative_time_is_over():
    assert read_record(slots=0).unwrap().slots == 1
    assert read_record(coldLeftMs=-5).unwrap().cold_s == 0.0


# Callers


def read_request(**headers):
    base = {"Host": "api.example:80", names.REQUEST_ID: "9c41"}
    request = read_caller_request(CIMultiDict(base | headers), "/a/b%20c?q=1")
    return request.unwrap()


def test_a_request_is_decoded():
    request = read_request(
        **{
            names.DEADLINE_MS: "8000",
            names.AUTHORIZATION: "Token secret",
            names.PROMPT_PARTS: "5c1e07a2:800,91bd3f06:410",
            names.PROMPT_TOKENS: "1460,80",
            names.CHUNK_COUNTS: "2,0,6",
            names.CHUNK_KEY: "7c1e",
        }
    )
    assert (request.host, request.path, request.key) == (
        "api.example",
        "/a/b%20c",
        "secret",
    )
    assert request.deadline_s == 8.0
    assert request.prompt == (PromptPart(0x5C1E07A2, 800), PromptPart(0x91BD3F06, 410))
    assert (request.prompt_tokens, request.output_tokens) == (1460, 80)
    assert (request.piece_counts, request.piece_key) == ((2, 0, 6), "7c1e")


def test_callers_headers_are_forwarded_and_the_systems_are_set():
    request = read_request(
        Accept="x", Connection="X-Hop", **{"X-Hop": "1", names.ACCOUNT: "forged"}
    )
    sent = request_headers(
        request, SystemHeaders("i-1", 1.5, "account", ("h1", "h2"), "12", 3)
    )
    assert sent["Accept"] == "x"
    assert "X-Hop" not in sent
    assert sent.getall(names.ACCOUNT) == ["account"]
    assert sent[names.DEADLINE_MS] == "1500"
    assert sent[names.EXPECTED_ID] == "i-1"
    assert sent[names.INPUT_HANDLES] == "h1,h2"
    assert sent[names.LAST_EVENT_ID] == "12"


# Responses


def test_the_head_of_a_response_is_decoded():
    head = read_response_head(
        200,
        CIMultiDict(
            {
                names.SIGNATURE: "s",
                names.LOAD: "3,0,8",
                "Keep-Alive": "timeout=5, max=9",
                "Connection": "close, X-Hop",
                "X-Hop": "1",
                "X-Own": "kept",
                "Content-Length": "2",
            }
        ),
    )
    assert head.load == EndpointLoad(3, 0, 8)
    assert {k for k, _ in head.headers} == {names.SIGNATURE, names.LOAD, "X-Own"}


def test_only_the_header_or_status_421_means_that_nothing_ran():
    assert read_response_head(503, CIMultiDict({names.NOT_EXECUTED: "1"})).not_run
    assert read_response_head(421, CIMultiDict()).not_run
    assert not read_response_head(503, CIMultiDict()).not_run
    assert not read_response_head(429, CIMultiDict()).not_run


def test_malformed_headers_of_a_response_are_ignored():
    headers = CIMultiDict({names.LOAD: "3,x,8", names.RETRY_AFTER: "soon"})
    head = read_response_head(503, headers)
    assert (head.load, head.retry_after_s) == (None, 0.0)


LOADS = {
    "3,0,8": EndpointLoad(3, 0, 8),
    "3,0,8,250": EndpointLoad(3, 0, 8, 2.5),
    "3, 0, 8, 87.5": EndpointLoad(3, 0, 8, 0.875),
    "-3,0,8": EndpointLoad(0, 0, 8, is_bounded=True),
    "3,0,8,0": EndpointLoad(3, 0, 8, 0.05, is_bounded=True),
    "3,0,8,inf": EndpointLoad(3, 0, 8, 50.0, is_bounded=True),
    "3,0,8,nan": EndpointLoad(3, 0, 8, is_bounded=True),
    "3,999999999,8,100": EndpointLoad(3, 100_000, 8, 1.0, is_bounded=True),
    "3,0,8,": None,
    "3,0,8,x": None,
    "3,0,8,100,1": None,
    "3,0": None,
    "inf,0,8": None,
    "": None,
}


@pytest.mark.parametrize("value", LOADS)
def test_a_load_report_has_three_figures_or_four(value):
    """Guards against dropping a report with a slowness, or trusting absurd figures."""
    head = read_response_head(200, CIMultiDict({names.LOAD: value}))
    assert head.load == LOADS[value]


# Pieces


PIECES = (
    PieceSpec("a", 0, 2, 10.9, "key"),
    PieceSpec("b", 2, 0, 10.9, "", ("h1", "h2")),
)


def test_pieces_are_encoded_with_their_remaining_time():
    first, second = json.loads(pieces.write_pieces(PIECES, 10.0))["entries"]
    assert first["remainingMs"] in (899, 900)
    assert (first["phase"], first["segment"], first["key"]) == (0, 2, "key")
    assert "inputHandles" not in first
    assert second["inputHandles"] == ["h1", "h2"]
    assert "key" not in second


def test_outcomes_are_decoded_in_order():
    body = b'{"entries":[{"handle":"h"},{"reason":"gone"}]}'
    outcomes = pieces.read_outcomes(body, PIECES).unwrap()
    assert outcomes[0].handle == "h"
    assert outcomes[1].fault is PieceFault.INPUT_MISSING


@pytest.mark.parametrize("handle", ["a\nb", "a\r\nX: y", "a\x00", "a,b"])
def test_outcomes_with_a_handle_that_no_header_can_hold_are_an_error(handle):
    """Guards against a result for which the engine's endpoint is blamed."""
    body = json.dumps({"entries": [{"handle": handle}, {"handle": "h"}]}).encode()
    assert "handle" in pieces.read_outcomes(body, PIECES).unwrap_err()


@pytest.mark.parametrize("body", [b"", b"{}", b'{"entries":[{"handle":"h"}]}', b"\xff"])
def test_outcomes_that_do_not_match_the_pieces_are_an_error(body):
    assert pieces.read_outcomes(body, PIECES).is_err()


# Store


def test_a_transaction_is_encoded():
    call = store.transact(
        [store.StoreCondition("k", 0)], [store.StoreWrite("k", b"node-1", 7)]
    )
    assert json.loads(call.body) == {
        "expectedRevision": [{"key": "k", "revision": 0}],
        "write": [{"key": "k", "value": "bm9kZS0x", "leaseId": 7}],
        "remove": [],
    }


def test_events_are_decoded_with_removals():
    body = json.dumps(
        {
            "events": [
                {"key": "a", "value": "bm9kZS0x", "revision": 412, "leaseId": 7},
                {"key": "b", "revision": 413, "deleted": True},
            ],
            "at": 413,
        }
    ).encode()
    events = store.read_events(body).unwrap()
    assert events.revision == 413
    assert events.items == (
        store.StoreItem("a", b"node-1", 412, 7),
        store.StoreItem("b", None, 413),
    )


def test_a_value_that_is_not_base64_is_kept_as_an_empty_one():
    body = b'{"entries":[{"key":"a","value":"*","revision":1}],"at":1}'
    assert store.read_page(body).unwrap().items == (store.StoreItem("a", b"", 1),)


def test_an_undecodable_response_is_an_error():
    for read in (store.read_item, store.read_page, store.read_events, store.read_lease):
        assert read(b"<html>").is_err()
    assert store.read_revision(b'{"revision":4}') == Ok(4)


@pytest.mark.parametrize(
    ("status", "value", "backoff_s"),
    [
        (503, "3", 3.0),
        (503, "0.25", 0.25),
        (503, "", 0.0),
        (503, "-1", 0.0),
        (503, "inf", 0.0),
        (503, "1e18", 600.0),
        (503, "soon", 0.0),
        (429, "3", 0.0),
    ],
)
def test_only_a_number_with_503_is_a_backoff(status, value, backoff_s):
    """Guards against endpoints that are left alone for ever for a malformed header."""
    head = read_response_head(status, CIMultiDict({names.RETRY_AFTER: value}))
    assert head.backoff_s == backoff_s


@pytest.mark.parametrize(
    ("value", "is_leaving"), [("1", True), (" 1 ", True), ("0", False), ("yes", False)]
)
def test_only_one_value_says_that_an_endpoint_leaves(value, is_leaving):
    """Guards against sound endpoints that are left out for a malformed header."""
    head = read_response_head(200, CIMultiDict({names.LEAVING: value}))
    assert head.leaving is is_leaving
    assert (names.LEAVING, value) in head.headers


# Places


def test_home_regions_of_routes_and_accounts_are_decoded():
    tenants = [{"name": "a", "apiKeys": ["k", "l"], "allowedRegions": ["east"]}]
    routes = [ROUTE | {"allowedRegions": ["east", "west"]}, ROUTE | {"name": "q"}]
    homes = table_of(routes=routes, tenants=tenants).homes
    assert homes.allowed("r", "") == {"east", "west"}
    assert homes.allowed("r", "a") == {"east"}
    assert homes.allowed("q", "a") == {"east"}
    assert homes.allowed("q", "b") is None


@pytest.mark.parametrize("nowhere", [{}, {"allowedRegions": []}])
def test_a_route_without_home_regions_is_served_anywhere(nowhere):
    """Guards against an empty list that is taken for a ban."""
    table = table_of(routes=[ROUTE | nowhere], tenants=[{"name": "a"} | nowhere])
    assert table.homes.allowed("r", "a") is None


def test_what_a_pool_says_of_cold_endpoints_is_decoded():
    service = SERVICE | {"coldStartS": 3.0, "coldPerS": 9.0}
    pool = table_of(services=[service]).pools["p"]
    assert (pool.cold_start_s, pool.cold_rate) == (3.0, 9.0)
    assert table_of(services=[SERVICE]).pools["p"].cold_rate == 0.0


@pytest.mark.parametrize(
    ("left", "expected"), [(2500, 2.5), (0, 0.0), (-1, 0.0), (3.2e10, 3.2e7)]
)
def test_how_long_an_endpoint_stays_cold_is_decoded(left, expected):
    record = {
        "service": "s",
        "address": "10.0.0.1:1",
        "zone": "z",
        "slots": 1,
        "state": "ready",
    }
    body = json.dumps(record | {"coldLeftMs": left}).encode()
    assert read_endpoint("servers/i", body, {}).unwrap().cold_s == expected
    assert read_endpoint("servers/i", json.dumps(record).encode(), {}).is_ok()
