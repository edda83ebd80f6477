"""Command line arguments of `chervilarch-status`."""

import argparse

from chervilarch import __version__, operator_args

_EPILOG = """examples:
  chervilarch-status --router 10.0.0.1:8080 --key-file operator.key
  chervilarch-status --router 10.0.0.1:8080 --key-file operator.key --json
  chervilarch-status --router 10.0.0.1:8080 --key-file operator.key \\
      explain 5f0c...
"""


def build_parser() -> argparse.ArgumentParser:
    """Returns the argument parser of `chervilarch-status`."""
    parser = argparse.ArgumentParser(
        prog="chervilarch-status",
        description="Shows what the fleet does and why.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    operator_args.add_router_options(parser)
    operator_args.add_json_option(parser)
    subparsers = parser.add_subparsers(dest="command")
    explain = subparsers.add_parser(
        "explain", help="tell what was decided for a request"
    )
    explain.add_argument("request_id", metavar="REQUEST-ID")
    return parser
