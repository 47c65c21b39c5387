"""Process settings in TOML files, and the settings tree that operators change."""

from amaranthtally.settings.change_log import (
    ChangeDelta,
    ChangeLog,
    decode_change,
    encode_change,
)
from amaranthtally.settings.checks import Mistake, check_ops
from amaranthtally.settings.keys import Key, find_key, known_keys, nearest_key
from amaranthtally.settings.models import (
    ModelReference,
    longest_deadline_s,
    required_models,
)
from amaranthtally.settings.process import (
    EntrySettings,
    GatewaySettings,
    SettingsFileError,
    SidecarSettings,
    load_entry_settings,
    load_gateway_settings,
    load_host_settings,
    load_sidecar_settings,
)
from amaranthtally.settings.proposal import (
    Difference,
    Proposal,
    differences,
    find_overlap,
    undo_ops,
    with_previous_values,
)
from amaranthtally.settings.snapshot import (
    Snapshot,
    SnapshotPointer,
    join_snapshot,
    split_snapshot,
)
from amaranthtally.settings.tree import Change, Level, Op, Scope, Tree
from amaranthtally.settings.view import SettingsView, hash_key

__all__ = [
    "Change",
    "ChangeDelta",
    "ChangeLog",
    "Difference",
    "EntrySettings",
    "GatewaySettings",
    "Key",
    "Level",
    "Mistake",
    "ModelReference",
    "Op",
    "Proposal",
    "Scope",
    "SettingsFileError",
    "SettingsView",
    "SidecarSettings",
    "Snapshot",
    "SnapshotPointer",
    "Tree",
    "check_ops",
    "decode_change",
    "differences",
    "encode_change",
    "find_key",
    "find_overlap",
    "hash_key",
    "join_snapshot",
    "known_keys",
    "load_entry_settings",
    "load_gateway_settings",
    "load_host_settings",
    "load_sidecar_settings",
    "longest_deadline_s",
    "nearest_key",
    "required_models",
    "split_snapshot",
    "undo_ops",
    "with_previous_values",
]
