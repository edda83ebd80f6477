"""`chervilarch-plan`: the operators' command for the day's sheet."""

import argparse
import json
import pathlib
import sys
import threading
import uuid
from collections.abc import Sequence
from typing import Any, NamedTuple

from chervilarch import (
    configuration,
    environment,
    log_client,
    operator_client,
    plan_args,
    records,
    schemas,
    settings,
    sheet,
    transfers,
)
from chervilarch.exits import ExitStatus

_POLL_S = 0.2
_READ_RETRY_S = 0.2


class Failure(NamedTuple):
    """Why a command failed, in sentences with a remedy."""

    status: ExitStatus
    lines: list[str]


class Tool(NamedTuple):
    """What every command works with."""

    args: argparse.Namespace
    env: environment.Environment
    transfers: transfers.TransferThread

    def log(self) -> log_client.LogClient:
        """Returns a client of the log."""
        return log_client.LogClient(self.args.log, self.transfers)

    def print_result(self, text: str, document: dict[str, Any]) -> None:
        """Prints a result for people, or for machines with --json."""
        if self.args.json:
            text = json.dumps(document, indent=2)
        print(text, file=self.env.stdout)


def main(argv: Sequence[str] | None = None) -> int:
    """Runs the command; returns its exit status."""
    args = plan_args.build_parser().parse_args(argv)
    return run(args, environment.system_environment())


def run(args: argparse.Namespace, env: environment.Environment) -> int:
    """Runs one command of the parsed arguments."""
    thread = transfers.TransferThread()
    thread.start()
    try:
        result = _COMMANDS[args.command](Tool(args, env, thread))
    finally:
        thread.stop()
    if isinstance(result, Failure):
        for line in result.lines:
            print(f"chervilarch-plan: {line}", file=env.stderr)
        return result.status
    return ExitStatus.OK


def _check(tool: Tool) -> Failure | None:
    if tool.args.deployment is None:
        return _usage("give --deployment, so that names can be checked")
    document = _wanted_document(tool, None)
    if isinstance(document, Failure):
        return document
    count = len(document["schedule"])
    text = f"good: {count} rows, {len(document['pipelines'])} pipelines"
    tool.print_result(text, {"rows": count})
    return None


def _diff(tool: Tool) -> Failure | None:
    state = _read_state(tool, 5.0)
    if isinstance(state, Failure):
        return state
    document = _wanted_document(tool, state)
    if isinstance(document, Failure):
        return document
    patch = configuration.make_patch(state.document, document)
    lines = [f"against version {state.version}:"]
    lines += [_describe_change(change) for change in patch]
    tool.print_result(
        "\n".join(lines) if patch else f"same as version {state.version}",
        {"base": state.version, "patch": patch},
    )
    return None


def _publish(tool: Tool) -> Failure | None:
    deadline = tool.env.clock.monotonic() + tool.args.timeout_s
    state = _read_state(tool, tool.args.timeout_s)
    if isinstance(state, Failure):
        return state
    base = state.version if tool.args.base is None else tool.args.base
    if base != state.version:
        return _lost(state.version)
    document = _wanted_document(tool, state)
    if isinstance(document, Failure):
        return document
    publish = records.Publish(
        uuid.uuid4().hex,
        base,
        configuration.make_patch(state.document, document),
        tool.args.author,
    )
    result = tool.log().append(records.CONFIGURATION_STREAM, [publish])
    if isinstance(result, log_client.LogError) and not result.sent:
        return Failure(
            ExitStatus.UNAVAILABLE,
            [f"nothing was published: {result.reason}; try again"],
        )
    verdict = _await_verdict(tool, state, publish, deadline)
    if isinstance(verdict, Failure):
        return verdict
    tool.print_result(
        f"accepted: version {verdict.version}", {"version": verdict.version}
    )
    return None


def _show(tool: Tool) -> Failure | None:
    state = _read_state(tool, 5.0)
    if isinstance(state, Failure):
        return state
    document = {"version": state.version, "configuration": state.document}
    print(json.dumps(document, indent=2), file=tool.env.stdout)
    return None


def _wait(tool: Tool) -> Failure | None:
    args = tool.args
    try:
        key = args.key_file.read_text(encoding="utf-8").strip()
    except OSError as exc:
        return _usage(f"{args.key_file}: {exc.strerror}; give a readable file")
    deadline = tool.env.clock.monotonic() + args.timeout_s
    while True:
        report = operator_client.read_status(tool.transfers, args.router, key)
        behind = _behind(report, args.wanted_version)
        if behind == []:
            version = args.wanted_version
            tool.print_result(
                f"version {version} is in force on every live router",
                {"version": version, "behind": []},
            )
            return None
        if tool.env.clock.monotonic() >= deadline:
            return _still_behind(args, report, behind)
        threading.Event().wait(_POLL_S)


def _still_behind(args, report, behind) -> Failure:
    if behind is None:
        line = f"{args.router} gives no status: {report.reason}; ask another"
        return Failure(ExitStatus.UNAVAILABLE, [line])
    names = ", ".join(behind)
    line = f"version {args.wanted_version} is not in force on {names}; look "
    line += "at their logs"
    return Failure(ExitStatus.TIMED_OUT, [line])


def _behind(report, version: int) -> list[str] | None:
    """Returns live routers that lack a version; None without a report."""
    if isinstance(report, operator_client.NoReport):
        return None
    return [
        member["name"]
        for member in report["members"]
        if member["status"] in ("alive", "suspect")
        and member["config_version"] < version
    ]


def _wanted_document(
    tool: Tool, state: configuration.ConfigState | None
) -> dict[str, Any] | Failure:
    """Returns the configuration that the arguments stand for."""
    args = tool.args
    deployment = state.document if state else {}
    if args.deployment is not None:
        deployment = settings.read_json(args.deployment)
        if isinstance(deployment, settings.SettingsError):
            return Failure(ExitStatus.BAD_SHEET, deployment.faults)
    elif not deployment:
        return _usage("nothing is in force yet; give --deployment")
    if args.sheet is None:
        document = deployment
    else:
        document = _compile(args.sheet, deployment)
    if isinstance(document, Failure):
        return document
    faults = schemas.check_configuration(document)
    if faults:
        lines = [f"{args.deployment}: {fault}" for fault in faults]
        return Failure(ExitStatus.BAD_SHEET, lines)
    return document


def _compile(
    path: pathlib.Path, deployment: dict[str, Any]
) -> dict[str, Any] | Failure:
    try:
        data = path.read_bytes()
    except OSError as exc:
        return _usage(f"{path}: {exc.strerror}; give a readable file")
    missing = {"time_zone", "pools", "accounts"} - set(deployment)
    if missing:
        names = ", ".join(sorted(missing))
        line = f"the deployment lacks {names}; add it"
        return Failure(ExitStatus.BAD_SHEET, [line])
    result = sheet.read(data, deployment)
    if isinstance(result, list):
        lines = [f"{path}: {fault}" for fault in result]
        return Failure(ExitStatus.BAD_SHEET, lines)
    return sheet.compile_sheet(result, deployment)


def _read_state(
    tool: Tool, timeout_s: float
) -> configuration.ConfigState | Failure:
    """Folds the whole stream."""
    deadline = tool.env.clock.monotonic() + timeout_s
    while True:
        stream = operator_client.read_stream(
            tool.log(), records.CONFIGURATION_STREAM
        )
        if not isinstance(stream, log_client.LogError):
            break
        if tool.env.clock.monotonic() >= deadline:
            line = f"the log can't be read: {stream.reason}; try again"
            return Failure(ExitStatus.UNAVAILABLE, [line])
        threading.Event().wait(_READ_RETRY_S)
    state = configuration.find_base(stream.records, stream.first_offset)
    if state is None:
        line = "the log holds no snapshot that the records follow on; start "
        line += "a router that holds the configuration"
        return Failure(ExitStatus.UNAVAILABLE, [line])
    for record in stream.records:
        state = configuration.fold(state, record)
    return state


def _await_verdict(
    tool: Tool,
    state: configuration.ConfigState,
    publish: records.Publish,
    deadline: float,
) -> configuration.Accepted | Failure:
    """Reads on from a state until the publish turns up in the log."""
    while tool.env.clock.monotonic() < deadline:
        page = tool.log().read(
            records.CONFIGURATION_STREAM, state.through + 1, 1.0
        )
        if isinstance(page, log_client.LogError):
            threading.Event().wait(_READ_RETRY_S)
            continue
        for record in page.records:
            if _is_publish(record, publish):
                return _verdict(configuration.judge(state, record))
            state = configuration.fold(state, record)
    line = "the publish was not read back in time; whether it is in force is "
    line += f"unknown (id {publish.publish_id}); run show, then publish again"
    return Failure(ExitStatus.TIMED_OUT, [line])


def _is_publish(record: records.Record, publish: records.Publish) -> bool:
    body = record.body
    return (
        isinstance(body, records.Publish)
        and body.publish_id == publish.publish_id
    )


def _verdict(
    verdict: configuration.Verdict,
) -> configuration.Accepted | Failure:
    if isinstance(verdict, configuration.Accepted):
        return verdict
    if isinstance(verdict, configuration.Lost):
        return _lost(verdict.winner)
    return Failure(ExitStatus.FAILED, [f"{verdict.reason}; publish again"])


def _lost(winner: int) -> Failure:
    line = f"not accepted: version {winner} is in force instead; look at it "
    line += f"with diff, then publish again with --base {winner}"
    return Failure(ExitStatus.CONFLICT, [line])


def _usage(line: str) -> Failure:
    return Failure(ExitStatus.USAGE, [line])


def _describe_change(change: dict[str, Any]) -> str:
    value = json.dumps(change["value"]) if "value" in change else ""
    return f"  {change['op']} {change['path']} {value}".rstrip()


_COMMANDS = {
    "check": _check,
    "diff": _diff,
    "publish": _publish,
    "show": _show,
    "wait": _wait,
}

if __name__ == "__main__":
    sys.exit(main())
