"""Load settings from YAML and report all errors together."""

from pathlib import Path

import attrs
import yaml
from attrs import frozen
from result import Err, Ok, Result

from rosemaryyoke.settings.model import Settings

SECRET_KEYS = frozenset({"shared_key"})


@frozen
class SettingsFault:
    """An invalid setting: its key, its value and the allowed values."""

    key: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.key}: {self.value} is not allowed; allowed: {self.allowed}"


def load_settings(path: Path) -> Result[Settings, list[SettingsFault]]:
    """Load settings from a YAML file, or return all errors."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err([SettingsFault(str(path), str(error), "a readable UTF-8 file")])
    return parse_settings(text)


def parse_settings(text: str) -> Result[Settings, list[SettingsFault]]:
    """Parse settings from YAML text, or return all errors."""
    try:
        values = yaml.safe_load(text)
    except yaml.YAMLError as error:
        return Err([SettingsFault("(file)", str(error), "YAML")])
    if not isinstance(values, dict):
        return Err([SettingsFault("(file)", repr(values), "a mapping")])
    faults = find_faults(values)
    if faults:
        return Err(faults)
    return Ok(Settings(**values))


def find_faults(values: dict) -> list[SettingsFault]:
    """Validate settings and return all errors, unknown keys first."""
    fields = attrs.fields_dict(Settings)
    known = ", ".join(sorted(fields))
    faults = [
        SettingsFault(str(key), "unknown key", f"one of {known}")
        for key in values
        if key not in fields
    ]
    for name, attribute in fields.items():
        fault = _check_field(name, attribute, values)
        if fault is not None:
            faults.append(fault)
    return faults


def _check_field(
    name: str, attribute: attrs.Attribute, values: dict
) -> SettingsFault | None:
    allowed = attribute.metadata["allowed"]
    if name not in values:
        if attribute.default is attrs.NOTHING:
            return SettingsFault(name, "missing", allowed)
        return None
    if attribute.metadata["valid"](values[name]):
        return None
    shown = "(hidden)" if name in SECRET_KEYS else repr(values[name])
    return SettingsFault(name, shown, allowed)
