"""Arguments of `chervilarch-status`."""

import argparse
import pathlib

from chervilarch import __version__

_EPILOG = """examples:
  chervilarch-status --router 10.0.0.1:8080 --key-file operator.key
  chervilarch-status --router 10.0.0.1:8080 --key-file operator.key --json
  chervilarch-status --router 10.0.0.1:8080 --key-file operator.key \\
      explain 5f0c...
"""


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command's arguments."""
    parser = argparse.ArgumentParser(
        prog="chervilarch-status",
        description="Shows what the fleet does and why.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument(
        "--router", required=True, metavar="IP:PORT", help="any router"
    )
    parser.add_argument(
        "--key-file",
        required=True,
        type=pathlib.Path,
        help="file with the operator's key",
    )
    parser.add_argument(
        "--json", action="store_true", help="print JSON for machines"
    )
    commands = parser.add_subparsers(dest="command")
    explain = commands.add_parser(
        "explain", help="tell what was decided for a request"
    )
    explain.add_argument("request_id", metavar="REQUEST-ID")
    return parser
