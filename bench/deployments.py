"""The two example deployments: endpoints, data centres and sample requests."""

import pathlib
from typing import NamedTuple

from bench.fleet import EXAMPLES, EndpointSpec


class Deployment(NamedTuple):
    """An example deployment."""

    name: str
    data_centres: list[str]
    specs: list[EndpointSpec]
    account: str
    long_pipeline: str
    once_pipeline: str
    once_pool: str

    def sheet(self) -> pathlib.Path:
        """Returns the day's sheet."""
        return EXAMPLES / self.name / "day.csv"

    def configuration(self) -> pathlib.Path:
        """Returns the deployment file."""
        return EXAMPLES / self.name / "deployment.json"


def _spread(
    pool: str, kind: str, count: int, centres: list[str]
) -> list[EndpointSpec]:
    return [
        EndpointSpec(pool, kind, centres[number % len(centres)])
        for number in range(count)
    ]


def _association() -> Deployment:
    centres = ["fukuoka", "kumamoto"]
    specs = [
        *_spread("encode", "call", 2, centres),
        *_spread("retrieve", "call", 2, centres),
        *_spread("rerank", "call", 2, centres),
        *_spread("generate", "stream", 3, centres),
        *_spread("bookings", "service", 2, centres),
    ]
    return Deployment(
        "association",
        centres,
        specs,
        "eaves-and-gates",
        "survey",
        "booking",
        "bookings",
    )


def _trust() -> Deployment:
    centres = ["pointe-a", "claxton", "carli"]
    specs = [
        *_spread("encode", "call", 2, centres),
        *_spread("retrieve", "call", 2, centres),
        *_spread("rerank", "call", 2, centres),
        *_spread("generate", "stream", 3, centres),
        *_spread("ledger", "service", 2, centres),
    ]
    return Deployment(
        "trust",
        centres,
        specs,
        "overseers",
        "season-summary",
        "tally",
        "ledger",
    )


DEPLOYMENTS = {
    deployment.name: deployment for deployment in (_association(), _trust())
}
