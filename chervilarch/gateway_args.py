"""Command line of `chervilarch-gateway`."""

import argparse
import os
import pathlib

SETTINGS_VARIABLE = "CHERVILARCH_SETTINGS"


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    default_path = os.environ.get(SETTINGS_VARIABLE, "")
    parser = argparse.ArgumentParser(
        prog="chervilarch-gateway",
        description="Serves routed requests on an entry host of the platform.",
    )
    parser.add_argument(
        "--settings",
        type=pathlib.Path,
        default=default_path or None,
        required=not default_path,
        metavar="FILE",
        help=f"JSON settings of this host (default: ${SETTINGS_VARIABLE})",
    )
    parser.add_argument(
        "--check",
        action="store_true",
        help="check the settings and exit",
    )
    return parser
