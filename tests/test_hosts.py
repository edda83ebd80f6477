"""The host list is transferred only when it has changed."""

import json

import pytest

from chervilarch import exchanges, hosts, metrics

ENTRY = {
    "name": "x",
    "address": "127.0.0.1:9",
    "role": "endpoint",
    "pool": "encode",
    "data_centre": "a",
    "state": "live",
    "incarnation": 1,
}


class FakeTransfers:
    """Returns prepared replies and records the exchanges."""

    def __init__(self):
        self.replies = []
        self.exchanges = []

    def send_and_wait(self, exchange):
        """Returns the next reply."""
        self.exchanges.append(exchange)
        return self.replies.pop(0)


@pytest.fixture
def transfers():
    return FakeTransfers()


@pytest.fixture
def controller(transfers):
    return hosts.HostsController(
        "127.0.0.1:1", transfers, metrics.Metrics(None)
    )


def reply(status, document=None, etag=""):
    headers = {"etag": etag} if etag else {}
    return exchanges.Reply(status, headers, json.dumps(document).encode(), 0.0)


def test_an_unchanged_list_is_not_transferred_again(controller, transfers):
    transfers.replies = [reply(200, {"hosts": [ENTRY]}, '"1"'), reply(304)]
    first = controller.read()
    assert controller.read() is first
    assert transfers.exchanges[1].headers == ('If-None-Match: "1"',)


@pytest.mark.parametrize(
    "bad",
    [
        reply(500),
        reply(304),
        reply(200, []),
        reply(200, {"hosts": [{"name": 1}]}),
        exchanges.TransferFailure(exchanges.FailureKind.REFUSED, "", False),
    ],
)
def test_a_list_that_cannot_be_read_is_an_error(controller, transfers, bad):
    transfers.replies = [bad]
    assert isinstance(controller.read(), hosts.HostListError)
