"""Settings of a host, loaded from YAML and validated."""

from rosemaryyoke.settings.keys import operator_key
from rosemaryyoke.settings.loader import SettingsFault, load_settings, parse_settings
from rosemaryyoke.settings.model import Settings

__all__ = [
    "Settings",
    "SettingsFault",
    "load_settings",
    "operator_key",
    "parse_settings",
]
