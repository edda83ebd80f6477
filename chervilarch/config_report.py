"""Shows the result of a configuration check as text or JSON; does no I/O."""

import json
from typing import Any, NamedTuple

from chervilarch.declared_config import (
    Change,
    Configuration,
    Difference,
    Finding,
    Severity,
    quote,
)
from chervilarch.platform import config_paths

# ANSI escape sequences: bold red, yellow, green, red, cyan.
_COLOURS = {
    Severity.ERROR: "\x1b[1;31m",
    Severity.WARNING: "\x1b[33m",
    Change.ADDED: "\x1b[32m",
    Change.REMOVED: "\x1b[31m",
    Change.CHANGED: "\x1b[36m",
}
_RESET = "\x1b[0m"
_MAX_VALUE_CHARS = 160


class CheckedFile(NamedTuple):
    """A file with what it declares and what is wrong with it.

    Attributes:
        path: the file's path.
        configuration: its content; None if it can't be decoded.
        findings: what is wrong.
        is_read: whether the file could be read.
    """

    path: str
    configuration: Configuration | None
    findings: list[Finding]
    is_read: bool = True


class Report(NamedTuple):
    """Result of a check.

    Attributes:
        new: the checked file.
        old: the file that it is compared with, if any. Its findings are only
            those that prevent the comparison.
        differences: what differs between them; None if they weren't compared.
    """

    new: CheckedFile
    old: CheckedFile | None = None
    differences: list[Difference] | None = None

    def files(self) -> list[CheckedFile]:
        """Returns the files of the check."""
        return [self.new] if self.old is None else [self.new, self.old]

    def count(self, severity: Severity) -> int:
        """Returns the number of findings of one severity."""
        return sum(
            finding.severity is severity
            for checked in self.files()
            for finding in checked.findings
        )


def to_document(report: Report) -> dict[str, Any]:
    """Returns a report as a JSON document."""
    against = None
    if report.old is not None:
        against = {
            "file": report.old.path,
            "version": _version(report.old),
        }
    differences = report.differences
    if differences is not None:
        differences = [
            {
                "change": difference.change.value,
                "section": difference.place.section.value,
                "name": difference.place.name,
                "field": difference.place.field,
                "old": difference.old,
                "new": difference.new,
            }
            for difference in differences
        ]
    return {
        "file": report.new.path,
        "version": _version(report.new),
        "against": against,
        "errors": report.count(Severity.ERROR),
        "warnings": report.count(Severity.WARNING),
        "findings": [
            _finding_document(checked, finding)
            for checked in report.files()
            for finding in checked.findings
        ],
        "differences": differences,
    }


def format_findings(checked: CheckedFile, use_colours: bool) -> list[str]:
    """Returns the findings of a file as lines of text."""
    return [
        f"{_paint(finding.severity, use_colours)}: {checked.path}: "
        f"{_describe_place(finding)}: {finding.detail}; {finding.remedy} "
        f"[{finding.code}]"
        for finding in checked.findings
    ]


def format_report(report: Report, use_colours: bool) -> str:
    """Returns a report as text.

    Findings of files that couldn't be read are left out.
    """
    lines = []
    for checked in report.files():
        if checked.is_read:
            lines += format_findings(checked, use_colours)
    if report.differences is not None:
        lines.append(
            f"differences from {report.old.path} "
            f"(version {_version(report.old)}):"
        )
        lines += [
            _format_difference(difference, use_colours)
            for difference in report.differences
        ] or ["  none"]
    errors = report.count(Severity.ERROR)
    warnings = report.count(Severity.WARNING)
    lines.append(
        f"{report.new.path}: {_describe_content(report.new)}; "
        f"errors: {errors}, warnings: {warnings}"
    )
    return "\n".join(lines)


def _version(checked: CheckedFile) -> int | None:
    config = checked.configuration
    return config.version if config is not None else None


def _describe_content(checked: CheckedFile) -> str:
    config = checked.configuration
    if config is None:
        return "not decoded"
    return (
        f"version {config.version}, {len(config.routes)} routes, "
        f"{len(config.pools)} services, {len(config.accounts or ())} accounts"
    )


def _describe_place(finding: Finding) -> str:
    place = finding.place
    path = config_paths.json_path(place)
    if place.index is not None:
        return f"{path} ({place.section.value} {quote(place.name)})"
    return path


def _finding_document(checked: CheckedFile, finding: Finding) -> dict[str, Any]:
    place = finding.place
    return {
        "severity": finding.severity.value,
        "code": finding.code,
        "file": checked.path,
        "section": place.section.value,
        "name": place.name,
        "path": config_paths.json_path(place),
        "detail": finding.detail,
        "remedy": finding.remedy,
    }


def _format_difference(difference: Difference, use_colours: bool) -> str:
    text = f"  {_paint(difference.change, use_colours)} {difference.place}"
    if difference.change is Change.CHANGED:
        old, new = _shorten(difference.old), _shorten(difference.new)
        return f"{text}: {old} -> {new}"
    count = difference.old or difference.new
    return text if count is None else f"{text}: {count}"


def _shorten(value: Any) -> str:
    text = json.dumps(value)
    if len(text) > _MAX_VALUE_CHARS:
        text = text[: _MAX_VALUE_CHARS - 3] + "..."
    return text


def _paint(word: Severity | Change, use_colours: bool) -> str:
    if not use_colours:
        return word.value
    return f"{_COLOURS[word]}{word.value}{_RESET}"
