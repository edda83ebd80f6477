"""Command line arguments that the operators' commands share."""

import argparse
import pathlib

from chervilarch import schemas


def parse_address(text: str) -> str:
    """Returns an "IP:PORT" argument after checking it.

    Raises:
        argparse.ArgumentTypeError: the text is no such address.
    """
    if not schemas.is_address(text):
        raise argparse.ArgumentTypeError(
            f"{text!r} is no IPv4 number and port; write it as 10.0.0.1:8080"
        )
    return text


def add_router_options(parser: argparse.ArgumentParser) -> None:
    """Adds --router and --key-file, the file with the operator's key."""
    parser.add_argument(
        "--router",
        required=True,
        type=parse_address,
        metavar="IP:PORT",
        help="any router",
    )
    parser.add_argument(
        "--key-file",
        required=True,
        type=pathlib.Path,
        help="file with the operator's key",
    )


def add_json_option(parser: argparse.ArgumentParser) -> None:
    """Adds --json."""
    parser.add_argument(
        "--json", action="store_true", help="print JSON for machines"
    )
