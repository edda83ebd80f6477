"""Arguments of `chervilarch-plan`."""

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
    """Returns the parser of the command's arguments."""
    parser = argparse.ArgumentParser(
        prog="chervilarch-plan",
        description="Checks, publishes and shows the day's sheet.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(dest="command", required=True)
    _add_check(commands)
    _add_diff(commands)
    _add_publish(commands)
    _add_show(commands)
    _add_wait(commands)
    return parser


def _add_check(commands) -> None:
    parser = commands.add_parser("check", help="check a sheet")
    _add_sources(parser)
    operator_args.add_json(parser)


def _add_diff(commands) -> None:
    parser = commands.add_parser("diff", help="show what a sheet would change")
    _add_sources(parser)
    _add_log(parser)
    operator_args.add_json(parser)


def _add_publish(commands) -> None:
    parser = commands.add_parser("publish", help="put a sheet in force")
    _add_sources(parser)
    _add_log(parser)
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
    operator_args.add_json(parser)


def _add_show(commands) -> None:
    parser = commands.add_parser("show", help="print what is in force")
    _add_log(parser)


def _add_wait(commands) -> None:
    parser = commands.add_parser(
        "wait", help="wait until a version is in force on every live router"
    )
    operator_args.add_router(parser)
    # The top parser's --version prints the program's version.
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
    operator_args.add_json(parser)


def _add_sources(parser: argparse.ArgumentParser) -> None:
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


def _add_log(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--log",
        required=True,
        type=operator_args.address,
        metavar="IP:PORT",
        help="the platform's log",
    )
