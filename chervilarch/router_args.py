"""Command line arguments of `chervilarch-router`."""

import argparse
import pathlib

from chervilarch import __version__


def build_parser() -> argparse.ArgumentParser:
    """Returns the argument parser of `chervilarch-router`."""
    parser = argparse.ArgumentParser(
        prog="chervilarch-router",
        description="Serves pipelines to callers on an entry host.",
        epilog="examples:\n"
        "  chervilarch-router --settings router.json\n"
        "  chervilarch-router --settings router.json --check\n",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument(
        "--settings",
        required=True,
        type=pathlib.Path,
        metavar="FILE",
        help="JSON file with this router's settings",
    )
    parser.add_argument(
        "--check",
        action="store_true",
        help="check the settings and exit",
    )
    return parser
