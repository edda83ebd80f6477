"""Arguments that the operators' commands share."""

import argparse
import pathlib

from chervilarch import schemas


def address(text: str) -> str:
    """Checks an "IP:PORT" argument.

    Raises:
        argparse.ArgumentTypeError: the text is no such address.
    """
    if not schemas.is_address(text):
        raise argparse.ArgumentTypeError(
            f"{text!r} is no IPv4 number and port; write it as 10.0.0.1:8080"
        )
    return text


def add_router(parser: argparse.ArgumentParser) -> None:
    """Adds the router to ask and the key to ask it with."""
    parser.add_argument(
        "--router",
        required=True,
        type=address,
        metavar="IP:PORT",
        help="any router",
    )
    parser.add_argument(
        "--key-file",
        required=True,
        type=pathlib.Path,
        help="file with the operator's key",
    )


def add_json(parser: argparse.ArgumentParser) -> None:
    """Adds the choice of output for machines."""
    parser.add_argument(
        "--json", action="store_true", help="print JSON for machines"
    )
