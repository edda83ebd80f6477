"""Command line arguments of `chervilarch-plan`."""

import argparse
import pathlib

from chervilarch import __version__, operator_args

_EPILOG = """examples:
  chervilarch-plan check --sheet day.csv --deployment deployment.json
  chervilarch-plan diff --log 10.0.0.9:7000 --sheet day.csv
  chervilarch-plan publish --log 10.0.0.9:7000 --sheet day.csv \\
      --deployment deployment.json --author mori
  chervilarch-plan wait --router 10.0.0.1:8080 --key-file operator.key \\
      --version 17
  chervilarch-plan show --log 10.0.0.9:7000
"""


def build_parser() -> argparse.ArgumentParser:
    """Returns the argument parser of `chervilarch-plan`."""
    parser = argparse.ArgumentParser(
        prog="chervilarch-plan",
        description="Checks, publishes and shows the day's sheet.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    subparsers = parser.add_subparsers(dest="command", required=True)
    _add_check(subparsers)
    _add_diff(subparsers)
    _add_publish(subparsers)
    _add_show(subparsers)
    _add_wait(subparsers)
    return parser


def _add_check(subparsers) -> None:
    parser = subparsers.add_parser("check", help="check a sheet")
    _add_input_options(parser)
    operator_args.add_json_option(parser)


def _add_diff(subparsers) -> None:
    parser = subparsers.add_parser(
        "diff", help="show what a sheet would change"
    )
    _add_input_options(parser)
    _add_log_option(parser)
    operator_args.add_json_option(parser)


def _add_publish(subparsers) -> None:
    parser = subparsers.add_parser("publish", help="put a sheet in force")
    _add_input_options(parser)
    _add_log_option(parser)
    parser.add_argument(
        "--base",
        type=int,
        metavar="VERSION",
        help="version that the sheet was made from; default the present one",
    )
    parser.add_argument("--author", default="", help="who publishes")
    parser.add_argument(
        "--timeout-s", type=float, default=10.0, help="longest wait"
    )
    operator_args.add_json_option(parser)


def _add_show(subparsers) -> None:
    parser = subparsers.add_parser("show", help="print what is in force")
    _add_log_option(parser)


def _add_wait(subparsers) -> None:
    parser = subparsers.add_parser(
        "wait", help="wait until a version is in force on every live router"
    )
    operator_args.add_router_options(parser)
    # Stored as `wanted_version`: --version of the main parser prints the
    # program's version.
    parser.add_argument(
        "--version",
        required=True,
        type=int,
        dest="wanted_version",
        metavar="VERSION",
        help="version to wait for",
    )
    parser.add_argument(
        "--timeout-s", type=float, default=30.0, help="longest wait"
    )
    operator_args.add_json_option(parser)


def _add_input_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--sheet",
        type=pathlib.Path,
        metavar="CSV",
        help="the day's sheet",
    )
    parser.add_argument(
        "--deployment",
        type=pathlib.Path,
        metavar="JSON",
        help="time zone, pools and accounts, or with no --sheet a whole "
        "configuration; default those in force",
    )


def _add_log_option(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--log",
        required=True,
        type=operator_args.parse_address,
        metavar="IP:PORT",
        help="the platform's log",
    )
