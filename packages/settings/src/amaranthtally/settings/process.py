"""Settings of one process, read from a TOML file and checked all at once."""

import difflib
import tomllib
from pathlib import Path
from typing import Annotated, Any, TypeVar, get_type_hints

import msgspec
from msgspec import Meta

__all__ = [
    "EntrySettings",
    "SettingsFileError",
    "SidecarSettings",
    "load_entry_settings",
    "load_sidecar_settings",
]

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Address = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]
Url = Annotated[str, Meta(pattern=r"^https?://[^\s]+$")]
Secret = Annotated[str, Meta(min_length=16)]
Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=1)]


class EntrySettings(msgspec.Struct, frozen=True, kw_only=True):
    """
    Settings of an entry. Addresses are ``ip:port``; times are in seconds.

    ``prefix_blocks`` bounds the blocks of a prompt by which engines are chosen that
    may hold them in cache; 0 leaves caches out of routing.
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


class SidecarSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a sidecar. Addresses are ``ip:port``; times are in seconds."""

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
    """A settings file has mistakes; the message lists every one."""

    def __init__(self, path: Path, mistakes: list[str]) -> None:
        lines = [f"{path}: {mistake}" for mistake in mistakes]
        super().__init__("\n".join(lines))
        self.mistakes = mistakes


SettingsT = TypeVar("SettingsT", EntrySettings, SidecarSettings)


def load_entry_settings(path: Path) -> EntrySettings:
    """Read an entry's settings; raises ``SettingsFileError``."""
    return _load(path, EntrySettings)


def load_sidecar_settings(path: Path) -> SidecarSettings:
    """Read a sidecar's settings; raises ``SettingsFileError``."""
    return _load(path, SidecarSettings)


def _load(path: Path, kind: type[SettingsT]) -> SettingsT:
    table = _read_table(path)
    mistakes = _unknown_keys(table, kind) + _wrong_values(table, kind)
    if mistakes:
        raise SettingsFileError(path, mistakes)
    return msgspec.convert(table, kind)


def _read_table(path: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        detail = f"cannot be read ({error.strerror}); check the path"
        raise SettingsFileError(path, [detail]) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        detail = f"is not TOML: {error}; mend that line"
        raise SettingsFileError(path, [detail]) from error


def _unknown_keys(table: dict[str, Any], kind: type[SettingsT]) -> list[str]:
    known = [field.name for field in msgspec.structs.fields(kind)]
    mistakes = []
    for key in table:
        if key in known:
            continue
        nearest = difflib.get_close_matches(key, known, 1)
        remedy = f"did you mean {nearest[0]!r}?" if nearest else "remove it"
        mistakes.append(f"key {key!r}: unknown; {remedy}")
    return mistakes


def _wrong_values(table: dict[str, Any], kind: type[SettingsT]) -> list[str]:
    types = get_type_hints(kind, include_extras=True)
    mistakes = []
    for field in msgspec.structs.fields(kind):
        if field.name not in table:
            if field.required:
                mistakes.append(f"key {field.name!r}: missing; add it")
            continue
        try:
            msgspec.convert(table[field.name], types[field.name])
        except msgspec.ValidationError as error:
            mistakes.append(f"key {field.name!r}: {error}; correct the value")
    return mistakes
