"""Command line arguments of `chervilarch-config`."""

import argparse
import pathlib

from chervilarch import __version__, operator_args

_EPILOG = """examples:
  chervilarch-config check new.json
  chervilarch-config check new.json --against old.json
  chervilarch-config check new.json --against old.json --json

exit status: 0 no errors (there may be warnings), 2 a file can't be read,
4 errors were found
"""


def build_parser() -> argparse.ArgumentParser:
    """Returns the argument parser of `chervilarch-config`."""
    parser = argparse.ArgumentParser(
        prog="chervilarch-config",
        description="Checks configurations of the gateway.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    subparsers = parser.add_subparsers(dest="command", required=True)
    check = subparsers.add_parser(
        "check", help="find faults in a configuration before it is written"
    )
    check.add_argument(
        "new",
        type=pathlib.Path,
        metavar="NEW",
        help="file with the configuration, as it will be written to the store",
    )
    check.add_argument(
        "--against",
        type=pathlib.Path,
        metavar="OLD",
        help="file with the configuration in force; lists the differences",
    )
    operator_args.add_json_option(check)
    return parser
