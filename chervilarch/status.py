"""`chervilarch-status`: prints a router's report or explains a request."""

import argparse
import json
import sys
from collections.abc import Sequence
from typing import Any

from chervilarch import (
    environment,
    operator_client,
    status_args,
    transfers,
)
from chervilarch.exits import ExitStatus


def main(argv: Sequence[str] | None = None) -> int:
    """Runs the command; returns its exit status."""
    args = status_args.build_parser().parse_args(argv)
    return run(args, environment.system_environment())


def run(args: argparse.Namespace, env: environment.Environment) -> int:
    """Prints a router's report, or with `explain` a request's steps."""
    try:
        key = args.key_file.read_text(encoding="utf-8").strip()
    except OSError as exc:
        return _print_error(
            env,
            ExitStatus.USAGE,
            f"{args.key_file}: {exc.strerror}; give a readable file",
        )
    thread = transfers.TransferThread()
    thread.start()
    try:
        report = _read_report(thread, args, key)
    finally:
        thread.stop()
    if isinstance(report, operator_client.ReportError):
        line = f"{args.router}: {report.reason}; check the address and the key"
        return _print_error(env, ExitStatus.UNAVAILABLE, line)
    if args.json:
        text = json.dumps(report, indent=2)
    elif args.command == "explain":
        text = format_explanation(report)
    else:
        text = format_report(report)
    print(text, file=env.stdout)
    return ExitStatus.OK


def format_report(report: dict[str, Any]) -> str:
    """Returns a router's report as text."""
    config = report["configuration"]
    ready = report["not_ready_reason"] or "ready"
    lines = [
        f"{report['host']} in {report['data_centre']}: {ready}, "
        f"{report['in_flight']} in flight, configuration {config['version']}",
        "",
        "members:",
    ]
    lines += [
        f"  {member['name']:20} {member['status']:8} "
        f"{member['data_centre']:12} configuration {member['config_version']}"
        for member in report["members"]
    ]
    lines += ["", "endpoints:"]
    lines += [_format_endpoint(endpoint) for endpoint in report["endpoints"]]
    lines += ["", "histograms (ms):"]
    lines += [
        f"  {name:44} n={summary['count']:<7} p50={summary['p50_ms']:<9.1f} "
        f"p95={summary['p95_ms']:<9.1f} p99={summary['p99_ms']:.1f}"
        for name, summary in report["histograms"].items()
    ]
    lines += ["", "counters:"]
    lines += [
        f"  {name:44} {value}"
        for name, value in sorted(report["counters"].items())
    ]
    return "\n".join(lines)


def format_explanation(report: dict[str, Any]) -> str:
    """Returns the steps of a request as text, one a line."""
    lines = [f"request {report['request_id']} of {report['account']}"]
    for step in report["steps"]:
        detail = ", ".join(f"{k}={v}" for k, v in step["detail"].items())
        lines.append(f"  {step['at_ms']:9.2f} ms  {step['step']}: {detail}")
    return "\n".join(lines)


def _format_endpoint(endpoint: dict[str, Any]) -> str:
    if endpoint["leaving"]:
        state = "leaving"
    else:
        state = "open" if endpoint["open"] else "closed"
    return (
        f"  {endpoint['address']:22} {endpoint['pool']:12} "
        f"{endpoint['data_centre']:12} {state:8} "
        f"in flight {endpoint['in_flight']:<4} limit {endpoint['limit']:<6} "
        f"{endpoint['latency_ms']} ms"
    )


def _read_report(
    thread: transfers.TransferThread, args: argparse.Namespace, key: str
) -> dict[str, Any] | operator_client.ReportError:
    if args.command == "explain":
        return operator_client.read_explanation(
            thread, args.router, key, args.request_id
        )
    return operator_client.read_status(thread, args.router, key)


def _print_error(
    env: environment.Environment, status: ExitStatus, line: str
) -> int:
    print(f"chervilarch-status: {line}", file=env.stderr)
    return status


if __name__ == "__main__":
    sys.exit(main())
