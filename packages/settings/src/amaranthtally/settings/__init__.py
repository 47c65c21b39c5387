"""Process settings in TOML, and the tree of settings that operators drive."""

from amaranthtally.settings.process import (
    EntrySettings,
    SettingsFileError,
    SidecarSettings,
    load_entry_settings,
    load_sidecar_settings,
)
from amaranthtally.settings.tree import Change, Level, Op, Scope, Tree
from amaranthtally.settings.view import SettingsView

__all__ = [
    "Change",
    "EntrySettings",
    "Level",
    "Op",
    "Scope",
    "SettingsFileError",
    "SettingsView",
    "SidecarSettings",
    "Tree",
    "load_entry_settings",
    "load_sidecar_settings",
]
