"""Process settings in TOML, and the tree of settings that operators drive."""

from amaranthtally.settings.checks import Mistake, check_ops
from amaranthtally.settings.keys import Key, find_key, known_keys, nearest_key
from amaranthtally.settings.log import ChangeLog, Gap, decode_change, encode_change
from amaranthtally.settings.models import (
    ModelReference,
    longest_deadline_s,
    needed_models,
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
    with_before,
)
from amaranthtally.settings.snapshot import (
    Snapshot,
    SnapshotPointer,
    cut_snapshot,
    join_snapshot,
)
from amaranthtally.settings.tree import Change, Level, Op, Scope, Tree
from amaranthtally.settings.view import SettingsView, hash_key

__all__ = [
    "Change",
    "ChangeLog",
    "Difference",
    "EntrySettings",
    "Gap",
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
    "cut_snapshot",
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
    "needed_models",
    "undo_ops",
    "with_before",
]
