"""The ``check`` command."""

import argparse
import sys
from pathlib import Path
from typing import Callable

import orjson
from attrs import frozen
from result import Err, Ok, Result

from rosemaryyoke.checks import (
    ERROR,
    Difference,
    Finding,
    RuleFile,
    read_rule_file,
    sort_findings,
)
from rosemaryyoke.cli.commands import (
    EXIT_FAILURE,
    EXIT_OK,
    EXIT_USAGE,
    EXIT_WARNINGS,
    command,
)
from rosemaryyoke.platform.configuration_file import (
    ConfigurationFile,
    read_configuration_file,
)

EPILOG = """exit codes:
  0  no errors and no warnings
  1  errors were found, or a file cannot be read
  2  the command line is invalid, or the two files have different forms
  3  warnings were found, but no errors
Differences from the version in force do not change the exit code, except for a version
that does not rise.
"""

CheckedFile = RuleFile | ConfigurationFile


@frozen
class Form:
    """A form of configurations and the function that reads it."""

    name: str
    read: Callable[[str], Result[CheckedFile, list[Finding]]]


RULES = Form("rules", read_rule_file)
PLATFORM = Form("platform", read_configuration_file)


@frozen
class Report:
    """What is printed about a file.

    ``differences`` is ``None`` if there was no comparison.
    """

    file: Path
    form: Form
    findings: list[Finding]
    differences: list[Difference] | None = None

    @property
    def errors(self) -> int:
        """Return the number of errors."""
        return sum(finding.severity == ERROR for finding in self.findings)

    @property
    def warnings(self) -> int:
        """Return the number of warnings."""
        return len(self.findings) - self.errors

    @property
    def exit_code(self) -> int:
        """Return the exit code."""
        if self.errors:
            return EXIT_FAILURE
        return EXIT_WARNINGS if self.warnings else EXIT_OK

    def print_text(self) -> None:
        """Print findings to the error stream, and differences and the result."""
        for finding in self.findings:
            print(finding.format(str(self.file)), file=sys.stderr)
        for difference in self.differences or ():
            print(difference.format())
        if self.differences == []:
            print("no differences from the version in force")
        result = count(self.errors, "error")
        if self.warnings:
            result += ", " + count(self.warnings, "warning")
        print(f"{self.file}: {result}")

    def print_json(self) -> None:
        """Print the report as one JSON object."""
        value = {
            "file": str(self.file),
            "form": self.form.name,
            "errors": self.errors,
            "warnings": self.warnings,
            "findings": [finding.as_dict() for finding in self.findings],
        }
        if self.differences is not None:
            value["differences"] = [item.as_dict() for item in self.differences]
        print(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())


def count(number: int, noun: str) -> str:
    """Return a number with its noun."""
    return f"{number or 'no'} {noun}{'' if number == 1 else 's'}"


def add_check_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``check``."""
    parser.epilog = EPILOG
    parser.formatter_class = argparse.RawDescriptionHelpFormatter
    parser.add_argument(
        "file", type=Path, help="rules file, or configuration of the platform (JSON)"
    )
    parser.add_argument(
        "--against", type=Path, help="version in force, to show the differences from"
    )
    parser.add_argument("--json", action="store_true", help="print JSON for programs")


def find_form(text: str) -> Form:
    """Return the form of a configuration; rules never begin with a JSON bracket."""
    return PLATFORM if text.lstrip("\ufeff \t\r\n")[:1] in ("{", "[") else RULES


def read_text(path: Path) -> Result[str, Finding]:
    """Return the text of a file, or why it cannot be read."""
    try:
        return Ok(path.read_bytes().decode("utf-8"))
    except UnicodeDecodeError as error:
        message = f"not UTF-8 at byte {error.start}"
    except OSError as error:
        message = error.strerror or type(error).__name__
    return Err(Finding(ERROR, "unreadable_file", (), message))


@command("check", "check a configuration and print its errors", add_check_arguments)
def check_file(options: argparse.Namespace) -> int:
    """Check a rules file or a configuration of the platform."""
    paths = [options.file] + ([options.against] if options.against else [])
    texts = []
    for path in paths:
        text = read_text(path)
        if isinstance(text, Err):
            return print_report(Report(path, RULES, [text.err_value]), options)
        texts.append(text.ok_value)
    forms = [find_form(text) for text in texts]
    if len(set(forms)) > 1:
        names = " and ".join(form.name for form in forms)
        print(f"files of different forms: {names}", file=sys.stderr)
        return EXIT_USAGE
    files = [form.read(text) for form, text in zip(forms, texts)]
    for path, form, file in zip(paths, forms, files):
        if isinstance(file, Err):
            return print_report(Report(path, form, file.err_value), options)
    checked = files[0].ok_value
    findings = list(checked.findings)
    differences = None
    if options.against:
        in_force = files[1].ok_value
        differences = checked.compare(in_force)
        findings += checked.check_version(in_force, differences)
    report = Report(options.file, forms[0], sort_findings(findings), differences)
    return print_report(report, options)


def print_report(report: Report, options: argparse.Namespace) -> int:
    """Print a report in the wanted format and return the exit code."""
    if options.json:
        report.print_json()
    else:
        report.print_text()
    return report.exit_code
