"""The core protocol holds, and each weakened variant is refuted."""

import io

import pytest

from model import check


@pytest.mark.parametrize(
    "case",
    check.protocols(full=False) + check.variants(),
    ids=lambda case: case.name,
)
def test_protocol_holds_or_variant_is_refuted(case):
    out = io.StringIO()
    assert check.check(case, out), out.getvalue()
