"""Reads a configuration document from a file, and checks it."""

from typing import Any, Iterator

import orjson
from attrs import evolve, frozen
from result import Err, Ok, Result

from rosemaryyoke.catalog import Configuration, Quota
from rosemaryyoke.checks import (
    ERROR,
    WARNING,
    DeclaredConfiguration,
    Difference,
    Finding,
    Place,
    check_configuration,
    check_version,
    compare_configurations,
    sort_findings,
)
from rosemaryyoke.checks.differences import CHANGED
from rosemaryyoke.platform.configuration_fields import (
    ACCOUNT,
    ROUTE,
    SERVICE,
    find_malformed_fields,
)
from rosemaryyoke.platform.documents import (
    decode,
    read_configuration,
    read_declared_quota,
    read_service,
)
from rosemaryyoke.platform.json_positions import JsonPositions

# Names of the catalog that differ from those of the document, by section.
SECTION_NAMES = {"accounts": "tenants"}
FIELD_NAMES = {
    "routes": {
        "path_prefix": "pathPrefix",
        "timeout_s": "timeoutMs",
        "max_attempts": "maxAttempts",
        "targets": "trafficSplit",
    },
    "accounts": {"keys": "apiKeys", "rate_per_s": "ratePerS"},
    "limits": {"head_bytes": "maxHeaderBytes"},
}
ENTRY_FIELDS = {"routes": ROUTE, "services": SERVICE, "tenants": ACCOUNT}


@frozen
class ConfigurationFile:
    """A document that hosts can decode, the findings in it, and their positions."""

    value: dict[str, Any]
    configuration: Configuration
    findings: tuple[Finding, ...]
    positions: JsonPositions

    def compare(self, old: "ConfigurationFile") -> list[Difference]:
        """Return the differences from the configuration in force."""
        return [
            *compare_configurations(old.configuration, self.configuration),
            *compare_unused_fields(old.value, self.value),
        ]

    def check_version(
        self, old: "ConfigurationFile", differences: list[Difference]
    ) -> list[Finding]:
        """Return an error if the version does not rise above the one in force."""
        found = check_version(old.configuration, self.configuration, differences)
        return [locate(finding, self.positions) for finding in found]


def read_configuration_file(text: str) -> Result[ConfigurationFile, list[Finding]]:
    """Read and check a document; return only findings if hosts cannot decode it."""
    body = text.encode()
    try:
        value = orjson.loads(body)
        positions = JsonPositions.scan(text)
    except orjson.JSONDecodeError as error:
        message = f"not valid JSON: {error.msg}"
        found = Finding(ERROR, "invalid_json", (), message, error.lineno, error.colno)
        return Err([found])
    except RecursionError:
        return Err([Finding(ERROR, "invalid_json", (), "nested too deeply", 1, 1)])
    findings = list(find_malformed_fields(value))
    findings += map(describe_repeated, positions.repeated)
    decoded = decode(read_configuration, body)
    if isinstance(decoded, Err):
        if not any(item.severity == ERROR for item in findings):
            # The message of the decoder may contain a value, which may be a key.
            kind = decoded.err_value.partition(":")[0]
            message = f"hosts cannot decode the document ({kind})"
            findings.append(Finding(ERROR, "malformed_field", (), message))
        return Err(locate_all(findings, positions))
    configuration = decoded.ok_value
    declared = DeclaredConfiguration(
        configuration,
        tuple(read_service(item) for item in value["services"]),
        tuple(read_quota_or_none(item) for item in value.get("tenants") or ()),
    )
    findings += [
        evolve(finding, place=wire_place(finding.place, value))
        for finding in check_configuration(declared)
    ]
    located = tuple(locate_all(findings, positions))
    return Ok(ConfigurationFile(value, configuration, located, positions))


def describe_repeated(place: Place) -> Finding:
    """Return the finding of a name that occurs twice in one object."""
    message = "the object has this field twice; the last one is used"
    return Finding(WARNING, "repeated_field", place, message)


def read_quota_or_none(account: dict) -> Quota | None:
    """Read a quota as written, or return ``None`` if it is malformed."""
    try:
        return read_declared_quota(account)
    except (TypeError, ValueError):
        return None


def wire_place(place: Place, value: dict[str, Any]) -> Place:
    """Return the place in the document of a place in the catalog's names."""
    section = place[0]
    names = FIELD_NAMES.get(section, {})
    found = tuple(
        part if isinstance(part, int) else names.get(part, part) for part in place
    )
    found = (SECTION_NAMES.get(section, section), *found[1:])
    if "targets" in place and not value["routes"][place[1]].get("trafficSplit"):
        return (*found[:2], "service")
    return found


def locate(finding: Finding, positions: JsonPositions) -> Finding:
    """Return a finding with its line and column."""
    line, column = positions.find(finding.place)
    return evolve(finding, line=line, column=column)


def locate_all(findings: list[Finding], positions: JsonPositions) -> list[Finding]:
    """Return findings with their lines and columns, in the order of the text."""
    return sort_findings(locate(finding, positions) for finding in findings)


def compare_unused_fields(
    old: dict[str, Any], new: dict[str, Any]
) -> Iterator[Difference]:
    """Yield changed fields of entries that hosts ignore; values are not shown."""
    for section, used in ENTRY_FIELDS.items():
        former = {item["name"]: item for item in old.get(section) or ()}
        for item in new.get(section) or ():
            before = former.get(item["name"])
            if before is None:
                continue
            for name in sorted({*before, *item} - set(used)):
                if before.get(name) != item.get(name):
                    shown = f"{name} of {section} {item['name']!r}"
                    effect = "none, hosts do not use this field"
                    yield Difference(CHANGED, "field", shown, (effect,))
