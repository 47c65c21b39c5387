"""Settings of one process, read from a TOML file; reports all mistakes at once."""

import difflib
import tomllib
from pathlib import Path
from typing import Annotated, Any, TypeVar, get_type_hints

import msgspec
from msgspec import Meta

__all__ = [
    "EntrySettings",
    "GatewaySettings",
    "SettingsFileError",
    "SidecarSettings",
    "load_entry_settings",
    "load_gateway_settings",
    "load_host_settings",
    "load_sidecar_settings",
]

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Address = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]
OptionalAddress = Annotated[str, Meta(pattern=r"^([0-9a-fA-F.:\[\]]+:[0-9]{1,5})?$")]
Url = Annotated[str, Meta(pattern=r"^https?://[^\s]+$")]
Secret = Annotated[str, Meta(min_length=16)]
Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=1)]
ENDPOINTS = "endpoints"
ENDPOINT_KEYS = frozenset({"endpoint", "wire_address", "endpoint_url"})
SHARED_KEYS = frozenset(
    {
        "host",
        "region",
        "data_centre",
        "http_address",
        "log_level",
        "response_memory_mb",
    }
)


class EntrySettings(msgspec.Struct, frozen=True, kw_only=True):
    """
    Settings of an entry. Addresses are ``ip:port``; times are in seconds.

    ``prefix_blocks`` is the maximum number of prompt blocks that are hashed to route a
    request to an engine with the prompt's prefix in its cache; 0 disables this.
    """

    name: Name
    host: Name
    region: Name
    data_centre: Name
    caller_address: Address
    admin_address: Address
    platform_url: Url
    token_keys: Annotated[list[Secret], Meta(min_length=1, max_length=2)]
    admin_keys: Annotated[list[Secret], Meta(min_length=1, max_length=2)]
    peers: list[Address] = msgspec.field(default_factory=list)
    max_body_bytes: Count = 1_048_576
    connect_timeout: Positive = 1.0
    stall_timeout: Positive = 30.0
    prefix_blocks: Annotated[int, Meta(ge=0, le=64)] = 32
    claim_ttl: Positive = 86_400.0
    drain_wait: Annotated[float, Meta(ge=0)] = 2.0
    drain_limit: Positive = 660.0
    log_level: Annotated[str, Meta(pattern="^(debug|info|warning|error)$")] = "info"


class GatewaySettings(msgspec.Struct, frozen=True, kw_only=True):
    """
    Settings of a gateway, an entry on the users' platform that calls endpoints itself.

    Addresses are ``ip:port``; times are in seconds. ``regions`` maps data centres to
    regions. ``stop_grace`` is the time that a process may take to stop. ``retry_ratio``
    and ``retry_slack`` limit the attempts that all entries together make in addition to
    the first attempt of each request. Metrics are served at ``metrics_address``; if it
    is empty, they are not served. ``seeds`` are addresses for peers of a few gateways,
    which one that starts asks if the store does not answer; some may be out of date.
    With ``fair_shares`` the fleet's capacity is divided fairly among accounts under
    overload; without, each gateway goes by the engine work that it was offered itself.
    Without ``shared_loads`` gateways do not share the loads of endpoints that report
    their speed. ``memory_mb`` is the memory that the process may use, in megabytes;
    with 0 there is no limit on what it holds for callers.
    """

    name: Name
    host: Name
    region: Name
    data_centre: Name
    caller_address: Address
    ready_address: Address
    peer_address: Address
    store_address: Address
    seeds: list[Address] = msgspec.field(default_factory=list)
    regions: dict[str, str] = msgspec.field(default_factory=dict)
    stop_grace: Positive = 8.0
    retry_ratio: Annotated[float, Meta(ge=0)] = 0.2
    retry_slack: Annotated[float, Meta(ge=0)] = 50.0
    memory_mb: Annotated[float, Meta(ge=0)] = 0.0
    metrics_address: OptionalAddress = ""
    fair_shares: bool = False
    shared_loads: bool = True
    log_level: Annotated[str, Meta(pattern="^(debug|info|warning|error)$")] = "info"


class SidecarSettings(msgspec.Struct, frozen=True, kw_only=True):
    """
    Settings of a sidecar. Addresses are ``ip:port``; times are in seconds.

    ``max_response_bytes`` is the largest response of the endpoint that is accepted, and
    a quarter of the longest stream. ``response_memory_mb`` is what the responses that a
    process is receiving may take together, in megabytes; beyond, the largest is ended.
    """

    endpoint: Name
    host: Name
    region: Name
    data_centre: Name
    wire_address: Address
    http_address: Address
    endpoint_url: Url
    endpoint_kind: Name
    platform_url: Annotated[str, Meta(pattern=r"^(https?://[^\s]+)?$")] = ""
    order_lease_ttl: Annotated[float, Meta(ge=3)] = 10.0
    unload_wait: Annotated[float, Meta(ge=0)] = 30.0
    concurrency: Count = 4
    max_response_bytes: Count = 16_777_216
    response_memory_mb: Positive = 128.0
    queue_capacity: Count = 64
    record_ttl: Positive = 900.0
    record_capacity: Count = 10_000
    handover_keys: Annotated[list[Secret], Meta(max_length=2)] = msgspec.field(
        default_factory=list
    )
    drain_wait: Annotated[float, Meta(ge=0)] = 3.0
    abandoned_wait: Annotated[float, Meta(ge=0)] = 10.0
    drain_limit: Positive = 660.0
    log_level: Annotated[str, Meta(pattern="^(debug|info|warning|error)$")] = "info"


class SettingsFileError(Exception):
    """A settings file is invalid; the message lists all mistakes, one per line."""

    def __init__(self, path: Path, mistakes: list[str]) -> None:
        lines = [f"{path}: {mistake}" for mistake in mistakes]
        super().__init__("\n".join(lines))
        self.mistakes = mistakes


SettingsT = TypeVar("SettingsT", EntrySettings, GatewaySettings, SidecarSettings)


def load_entry_settings(path: Path) -> EntrySettings:
    """Read an entry's settings; raises ``SettingsFileError``."""
    return _load(path, EntrySettings)


def load_gateway_settings(path: Path) -> GatewaySettings:
    """Read a gateway's settings; raises ``SettingsFileError``."""
    return _load(path, GatewaySettings)


def load_sidecar_settings(path: Path) -> SidecarSettings:
    """Read a sidecar's settings; raises ``SettingsFileError``."""
    return _load(path, SidecarSettings)


def load_host_settings(path: Path) -> list[SidecarSettings]:
    """
    Read the settings of a sidecar process for all endpoints of its host.

    The file holds either the settings of one endpoint, or the settings that all
    endpoints share and a table ``[[endpoints]]`` for each of them; raises
    ``SettingsFileError``.
    """
    table = _read_table(path)
    if ENDPOINTS not in table:
        return [_convert(path, table, SidecarSettings)]
    mistakes = _endpoint_table_mistakes(table)
    if mistakes:
        raise SettingsFileError(path, mistakes)
    shared = {key: value for key, value in table.items() if key != ENDPOINTS}
    merged = [{**shared, **endpoint} for endpoint in table[ENDPOINTS]]
    mistake_lists = [_unknown_keys(t, SidecarSettings) for t in merged]
    mistake_lists += [_wrong_values(t, SidecarSettings) for t in merged]
    mistakes = list(dict.fromkeys(m for listed in mistake_lists for m in listed))
    if mistakes:
        raise SettingsFileError(path, mistakes)
    return [msgspec.convert(t, SidecarSettings) for t in merged]


def _endpoint_table_mistakes(table: dict[str, Any]) -> list[str]:
    tables = table[ENDPOINTS]
    if not isinstance(tables, list) or not tables:
        return [f"key {ENDPOINTS!r}: write one [[{ENDPOINTS}]] for each endpoint"]
    mistakes = [
        f"key {key!r}: belongs to one endpoint; move it below [[{ENDPOINTS}]]"
        for key in sorted(ENDPOINT_KEYS & table.keys())
    ]
    mistakes += [
        f"key {key!r}: applies to the whole process; move it above [[{ENDPOINTS}]]"
        for key in sorted(SHARED_KEYS)
        if any(key in endpoint for endpoint in tables)
    ]
    for key in sorted(ENDPOINT_KEYS):
        values = [
            endpoint[key]
            for endpoint in tables
            if not _is_port_zero(endpoint.get(key, ":0"))
        ]
        if len(set(values)) < len(values):
            mistakes.append(f"key {key!r}: the same for two endpoints; correct one")
    return mistakes


def _is_port_zero(value: Any) -> bool:
    return str(value).endswith(":0")


def _load(path: Path, settings_type: type[SettingsT]) -> SettingsT:
    return _convert(path, _read_table(path), settings_type)


def _convert(
    path: Path, table: dict[str, Any], settings_type: type[SettingsT]
) -> SettingsT:
    mistakes = _unknown_keys(table, settings_type) + _wrong_values(table, settings_type)
    if mistakes:
        raise SettingsFileError(path, mistakes)
    return msgspec.convert(table, settings_type)


def _read_table(path: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        detail = f"cannot be read ({error.strerror}); check the path"
        raise SettingsFileError(path, [detail]) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        detail = f"is not valid TOML: {error}; correct that line"
        raise SettingsFileError(path, [detail]) from error


def _unknown_keys(table: dict[str, Any], settings_type: type[SettingsT]) -> list[str]:
    known = [field.name for field in msgspec.structs.fields(settings_type)]
    mistakes = []
    for key in table:
        if key in known:
            continue
        nearest = difflib.get_close_matches(key, known, 1)
        remedy = f"did you mean {nearest[0]!r}?" if nearest else "remove it"
        mistakes.append(f"key {key!r}: unknown; {remedy}")
    return mistakes


def _wrong_values(table: dict[str, Any], settings_type: type[SettingsT]) -> list[str]:
    types = get_type_hints(settings_type, include_extras=True)
    mistakes = []
    for field in msgspec.structs.fields(settings_type):
        if field.name not in table:
            if field.required:
                mistakes.append(f"key {field.name!r}: missing; add it")
            continue
        try:
            msgspec.convert(table[field.name], types[field.name])
        except msgspec.ValidationError as error:
            mistakes.append(f"key {field.name!r}: {error}; correct the value")
    return mistakes
