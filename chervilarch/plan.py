"""`chervilarch-plan`: checks, publishes and shows the operators' sheet."""

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

_POLL_INTERVAL_S = 0.2
_READ_RETRY_DELAY_S = 0.2


class CommandFailure(NamedTuple):
    """How a command failed: its exit status and its lines for stderr."""

    status: ExitStatus
    lines: list[str]


class CommandContext(NamedTuple):
    """The arguments, environment and HTTP client that a command uses."""

    args: argparse.Namespace
    env: environment.Environment
    transfers: transfers.TransferThread

    def make_log_client(self) -> log_client.LogClient:
        """Returns a client of the log that --log names."""
        return log_client.LogClient(self.args.log, self.transfers)

    def print_result(self, text: str, document: dict[str, Any]) -> None:
        """Prints a result as text, or as JSON with --json."""
        if self.args.json:
            text = json.dumps(document, indent=2)
        print(text, file=self.env.stdout)


def main(argv: Sequence[str] | None = None) -> int:
    """Runs the command; returns its exit status."""
    args = plan_args.build_parser().parse_args(argv)
    return run(args, environment.system_environment())


def run(args: argparse.Namespace, env: environment.Environment) -> int:
    """Runs the command that the parsed arguments name."""
    thread = transfers.TransferThread()
    thread.start()
    try:
        result = _COMMANDS[args.command](CommandContext(args, env, thread))
    finally:
        thread.stop()
    if isinstance(result, CommandFailure):
        for line in result.lines:
            print(f"chervilarch-plan: {line}", file=env.stderr)
        return result.status
    return ExitStatus.OK


def _run_check(context: CommandContext) -> CommandFailure | None:
    if context.args.deployment is None:
        return _usage_error("give --deployment, so that names can be checked")
    document = _build_configuration(context, None)
    if isinstance(document, CommandFailure):
        return document
    count = len(document["schedule"])
    text = f"good: {count} rows, {len(document['pipelines'])} pipelines"
    context.print_result(text, {"rows": count})
    return None


def _run_diff(context: CommandContext) -> CommandFailure | None:
    state = _read_state(context, 5.0)
    if isinstance(state, CommandFailure):
        return state
    document = _build_configuration(context, state)
    if isinstance(document, CommandFailure):
        return document
    patch = configuration.make_patch(state.document, document)
    lines = [f"against version {state.version}:"]
    lines += [_describe_change(change) for change in patch]
    context.print_result(
        "\n".join(lines) if patch else f"same as version {state.version}",
        {"base": state.version, "patch": patch},
    )
    return None


def _run_publish(context: CommandContext) -> CommandFailure | None:
    deadline = context.env.clock.monotonic() + context.args.timeout_s
    state = _read_state(context, context.args.timeout_s)
    if isinstance(state, CommandFailure):
        return state
    base = state.version if context.args.base is None else context.args.base
    if base != state.version:
        return _conflict(state.version)
    document = _build_configuration(context, state)
    if isinstance(document, CommandFailure):
        return document
    publish = records.Publish(
        uuid.uuid4().hex,
        base,
        configuration.make_patch(state.document, document),
        context.args.author,
    )
    append_result = context.make_log_client().append(
        records.CONFIGURATION_STREAM, [publish]
    )
    if (
        isinstance(append_result, log_client.LogError)
        and not append_result.sent
    ):
        return CommandFailure(
            ExitStatus.UNAVAILABLE,
            [f"nothing was published: {append_result.reason}; try again"],
        )
    result = _wait_for_publish_result(context, state, publish, deadline)
    if isinstance(result, CommandFailure):
        return result
    context.print_result(
        f"accepted: version {result.version}", {"version": result.version}
    )
    return None


def _run_show(context: CommandContext) -> CommandFailure | None:
    state = _read_state(context, 5.0)
    if isinstance(state, CommandFailure):
        return state
    document = {"version": state.version, "configuration": state.document}
    print(json.dumps(document, indent=2), file=context.env.stdout)
    return None


def _run_wait(context: CommandContext) -> CommandFailure | None:
    args = context.args
    try:
        key = args.key_file.read_text(encoding="utf-8").strip()
    except OSError as exc:
        return _usage_error(
            f"{args.key_file}: {exc.strerror}; give a readable file"
        )
    deadline = context.env.clock.monotonic() + args.timeout_s
    while True:
        report = operator_client.read_status(
            context.transfers, args.router, key
        )
        outdated = _find_outdated_routers(report, args.wanted_version)
        if outdated == []:
            version = args.wanted_version
            context.print_result(
                f"version {version} is in force on every live router",
                {"version": version, "behind": []},
            )
            return None
        if context.env.clock.monotonic() >= deadline:
            return _wait_failure(args, report, outdated)
        threading.Event().wait(_POLL_INTERVAL_S)


def _wait_failure(args, report, outdated) -> CommandFailure:
    if outdated is None:
        line = f"{args.router} gives no status: {report.reason}; ask another"
        return CommandFailure(ExitStatus.UNAVAILABLE, [line])
    names = ", ".join(outdated)
    line = f"version {args.wanted_version} is not in force on {names}; look "
    line += "at their logs"
    return CommandFailure(ExitStatus.TIMED_OUT, [line])


def _find_outdated_routers(report, version: int) -> list[str] | None:
    """Returns the live routers with an older version; None without a report."""
    if isinstance(report, operator_client.ReportError):
        return None
    return [
        member["name"]
        for member in report["members"]
        if member["status"] in ("alive", "suspect")
        and member["config_version"] < version
    ]


def _build_configuration(
    context: CommandContext, state: configuration.ConfigState | None
) -> dict[str, Any] | CommandFailure:
    """Returns the configuration that --sheet and --deployment describe.

    Without --deployment, `state` gives the time zone, pools and accounts.
    """
    args = context.args
    deployment = state.document if state else {}
    if args.deployment is not None:
        deployment = settings.read_json(args.deployment)
        if isinstance(deployment, settings.SettingsError):
            return CommandFailure(ExitStatus.BAD_SHEET, deployment.faults)
    elif not deployment:
        return _usage_error("nothing is in force yet; give --deployment")
    if args.sheet is None:
        document = deployment
    else:
        document = _compile_sheet_file(args.sheet, deployment)
    if isinstance(document, CommandFailure):
        return document
    faults = schemas.check_configuration(document)
    if faults:
        lines = [f"{args.deployment}: {fault}" for fault in faults]
        return CommandFailure(ExitStatus.BAD_SHEET, lines)
    return document


def _compile_sheet_file(
    path: pathlib.Path, deployment: dict[str, Any]
) -> dict[str, Any] | CommandFailure:
    try:
        data = path.read_bytes()
    except OSError as exc:
        return _usage_error(f"{path}: {exc.strerror}; give a readable file")
    missing = {"time_zone", "pools", "accounts"} - set(deployment)
    if missing:
        names = ", ".join(sorted(missing))
        line = f"the deployment lacks {names}; add it"
        return CommandFailure(ExitStatus.BAD_SHEET, [line])
    result = sheet.read(data, deployment)
    if isinstance(result, list):
        lines = [f"{path}: {fault}" for fault in result]
        return CommandFailure(ExitStatus.BAD_SHEET, lines)
    return sheet.compile_sheet(result, deployment)


def _read_state(
    context: CommandContext, timeout_s: float
) -> configuration.ConfigState | CommandFailure:
    """Returns the configuration in force, folded from the log's records."""
    deadline = context.env.clock.monotonic() + timeout_s
    while True:
        stream = operator_client.read_stream(
            context.make_log_client(), records.CONFIGURATION_STREAM
        )
        if not isinstance(stream, log_client.LogError):
            break
        if context.env.clock.monotonic() >= deadline:
            line = f"the log can't be read: {stream.reason}; try again"
            return CommandFailure(ExitStatus.UNAVAILABLE, [line])
        threading.Event().wait(_READ_RETRY_DELAY_S)
    state = configuration.find_base(stream.records, stream.first_offset)
    if state is None:
        line = "the log holds no snapshot that the records follow on; start "
        line += "a router that holds the configuration"
        return CommandFailure(ExitStatus.UNAVAILABLE, [line])
    for record in stream.records:
        state = configuration.fold(state, record)
    return state


def _wait_for_publish_result(
    context: CommandContext,
    state: configuration.ConfigState,
    publish: records.Publish,
    deadline: float,
) -> configuration.Accepted | CommandFailure:
    """Reads the log from a state on until it holds the publish."""
    while context.env.clock.monotonic() < deadline:
        page = context.make_log_client().read(
            records.CONFIGURATION_STREAM, state.through + 1, 1.0
        )
        if isinstance(page, log_client.LogError):
            threading.Event().wait(_READ_RETRY_DELAY_S)
            continue
        for record in page.records:
            if _is_record_of(record, publish):
                return _check_accepted(
                    configuration.evaluate_publish(state, record)
                )
            state = configuration.fold(state, record)
    line = "the publish was not read back in time; whether it is in force is "
    line += f"unknown (id {publish.publish_id}); run show, then publish again"
    return CommandFailure(ExitStatus.TIMED_OUT, [line])


def _is_record_of(record: records.Record, publish: records.Publish) -> bool:
    body = record.body
    return (
        isinstance(body, records.Publish)
        and body.publish_id == publish.publish_id
    )


def _check_accepted(
    result: configuration.PublishResult,
) -> configuration.Accepted | CommandFailure:
    if isinstance(result, configuration.Accepted):
        return result
    if isinstance(result, configuration.Conflict):
        return _conflict(result.current_version)
    return CommandFailure(
        ExitStatus.FAILED, [f"{result.reason}; publish again"]
    )


def _conflict(version: int) -> CommandFailure:
    line = f"not accepted: version {version} is in force instead; look at it "
    line += f"with diff, then publish again with --base {version}"
    return CommandFailure(ExitStatus.CONFLICT, [line])


def _usage_error(line: str) -> CommandFailure:
    return CommandFailure(ExitStatus.USAGE, [line])


def _describe_change(change: dict[str, Any]) -> str:
    value = json.dumps(change["value"]) if "value" in change else ""
    return f"  {change['op']} {change['path']} {value}".rstrip()


_COMMANDS = {
    "check": _run_check,
    "diff": _run_diff,
    "publish": _run_publish,
    "show": _run_show,
    "wait": _run_wait,
}

if __name__ == "__main__":
    sys.exit(main())
