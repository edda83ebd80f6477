"""The two example deployments: endpoints, data centres, sample requests."""

import pathlib
from typing import NamedTuple

from bench.fleet import EXAMPLES, EndpointSpec


class Deployment(NamedTuple):
    """An example deployment with sample requests.

    Attributes:
        name: its directory in examples.
        data_centres: names of its data centres.
        specs: its endpoints.
        account: account that sends the sample requests.
        multi_stage_pipeline: pipeline of four stages, the last a stream.
        non_repeatable_pipeline: pipeline whose call may run only once.
        non_repeatable_pool: pool that serves this call.
    """

    name: str
    data_centres: list[str]
    specs: list[EndpointSpec]
    account: str
    multi_stage_pipeline: str
    non_repeatable_pipeline: str
    non_repeatable_pool: str

    def sheet_path(self) -> pathlib.Path:
        """Returns the path of the day's sheet."""
        return EXAMPLES / self.name / "day.csv"

    def deployment_path(self) -> pathlib.Path:
        """Returns the path of the deployment file."""
        return EXAMPLES / self.name / "deployment.json"


def _distribute(
    pool: str, kind: str, count: int, data_centres: list[str]
) -> list[EndpointSpec]:
    return [
        EndpointSpec(pool, kind, data_centres[number % len(data_centres)])
        for number in range(count)
    ]


def _association() -> Deployment:
    data_centres = ["fukuoka", "kumamoto"]
    specs = [
        *_distribute("encode", "call", 2, data_centres),
        *_distribute("retrieve", "call", 2, data_centres),
        *_distribute("rerank", "call", 2, data_centres),
        *_distribute("generate", "stream", 3, data_centres),
        *_distribute("bookings", "service", 2, data_centres),
    ]
    return Deployment(
        "association",
        data_centres,
        specs,
        "eaves-and-gates",
        "survey",
        "booking",
        "bookings",
    )


def _trust() -> Deployment:
    data_centres = ["pointe-a", "claxton", "carli"]
    specs = [
        *_distribute("encode", "call", 2, data_centres),
        *_distribute("retrieve", "call", 2, data_centres),
        *_distribute("rerank", "call", 2, data_centres),
        *_distribute("generate", "stream", 3, data_centres),
        *_distribute("ledger", "service", 2, data_centres),
    ]
    return Deployment(
        "trust",
        data_centres,
        specs,
        "overseers",
        "season-summary",
        "tally",
        "ledger",
    )


DEPLOYMENTS = {
    deployment.name: deployment for deployment in (_association(), _trust())
}
