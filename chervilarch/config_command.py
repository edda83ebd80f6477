"""`chervilarch-config`: checks a configuration before operators write it."""

import argparse
import json
import pathlib
import sys
from collections.abc import Sequence

from chervilarch import (
    config_args,
    config_differences,
    config_faults,
    config_report,
    decoding,
    environment,
)
from chervilarch.config_report import CheckedFile, Report
from chervilarch.declared_config import Severity
from chervilarch.exits import ExitStatus
from chervilarch.platform import documents


def main(argv: Sequence[str] | None = None) -> int:
    """Runs the command; returns its exit status."""
    args = config_args.build_parser().parse_args(argv)
    return run(args, environment.system_environment())


def run(args: argparse.Namespace, env: environment.Environment) -> int:
    """Checks the file that the parsed arguments name, and prints the result."""
    report = _check(args.new, args.against)
    if args.json:
        document = config_report.to_document(report)
        print(json.dumps(document, indent=2), file=env.stdout)
    else:
        _print_text(report, env)
    if not all(checked.is_read for checked in report.files()):
        return ExitStatus.USAGE
    if report.count(Severity.ERROR):
        return ExitStatus.BAD_SHEET
    return ExitStatus.OK


def _check(new_path: pathlib.Path, old_path: pathlib.Path | None) -> Report:
    new = _load(new_path)
    if new.configuration is not None:
        faults = config_faults.find_faults(new.configuration)
        new = new._replace(findings=faults)
    if old_path is None:
        return Report(new)
    old = _load(old_path)
    if new.configuration is None or old.configuration is None:
        return Report(new, old)
    configurations = old.configuration, new.configuration
    version_findings = config_differences.check_version(*configurations)
    return Report(
        new._replace(findings=version_findings + new.findings),
        old,
        config_differences.list_differences(*configurations),
    )


def _load(path: pathlib.Path) -> CheckedFile:
    """Returns a file's content, or the finding that it has none."""
    try:
        value = path.read_bytes()
    except OSError as exc:
        finding = config_faults.describe_unread_file(exc.strerror or str(exc))
        return CheckedFile(str(path), None, [finding], is_read=False)
    config = documents.decode_declared(value)
    if isinstance(config, decoding.Unreadable):
        finding = config_faults.describe_unreadable(config.reason, value)
        return CheckedFile(str(path), None, [finding])
    return CheckedFile(str(path), config, [])


def _print_text(report: Report, env: environment.Environment) -> None:
    use_colours = env.stderr.isatty()
    for checked in report.files():
        if not checked.is_read:
            for line in config_report.format_findings(checked, use_colours):
                print(line, file=env.stderr)
    text = config_report.format_report(report, env.stdout.isatty())
    print(text, file=env.stdout)


if __name__ == "__main__":
    sys.exit(main())
