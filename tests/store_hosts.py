"""Hosts of the tests that follow the platform's store and share it."""

import random

import loop_helpers as lh

from chervilarch import (
    evacuation_follower,
    followers,
    hosts,
    http_client,
    stage_coordination,
    store,
    store_sharing,
    tasks,
    telemetry,
)
from chervilarch.platform import documents

KEY = b"k" * 16
PAUSE_S = 1.0
ENDPOINTS = store.Topic.ENDPOINTS


def decode_listing(name, value):
    if value == b"bad":
        return store.StoreError("bad")
    word, _, sequence = value.partition(b" ")
    state = hosts.LEAVING if word == b"leaving" else "live"
    return lh.listing(name, state=state, sequence=int(sequence))


class Host:
    """A host that follows the endpoints over its own link to the store."""

    def __init__(self, loop, name, source, data_centre="dc0"):
        self.source = source
        self.endpoints = followers.EndpointFollower(
            loop, source, decode_listing, PAUSE_S
        )
        self.neighbours = []
        # Hosts of other data centres.
        self.remote = []
        self.sharing = store_sharing.StoreSharing(
            loop,
            stage_coordination.Peer(
                name,
                ("127.0.0.1", lh.free_ports(1)),
                data_centre=data_centre,
            ),
            lambda: self.neighbours + self.remote,
            {ENDPOINTS: self.endpoints.topic_follower},
            KEY,
            http_client.Client(loop),
            random.Random(1),
        )
        self.peer = stage_coordination.Peer(
            name, self.sharing._socket.address, data_centre=data_centre
        )
        self.notified = []
        self.endpoints.add_listener(self.notified.append)

    def listed(self):
        return sorted(self.notified[-1].get("p", {})) if self.notified else []

    def reads(self):
        return self.source.calls.count("changes")


def run_hosts(count, data_centres):
    """Starts hosts that know each other; yields them in their read order."""
    loop, clock = lh.new_loop()
    shared = lh.FakeStore()
    for n in range(3):
        shared.write(ENDPOINTS, f"e{n}", b"live 1")
    members = [
        Host(loop, f"n{n}", lh.FakeStore(shared), f"dc{n % data_centres}")
        for n in range(count)
    ]
    for host in members:
        for other in members:
            if other is not host:
                is_near = other.peer.data_centre == host.peer.data_centre
                (host.neighbours if is_near else host.remote).append(other.peer)
    by_rank = sorted(members, key=lambda host: host.sharing.read_rank())
    for host in members:
        host.endpoints.topic_follower.start()
    lh.run_pending(loop)
    yield loop, clock, shared, by_rank
    for host in members:
        host.sharing.close()
    loop.close()


def decode_table(value):
    table = lh.table(version=int(value.split()[0]))
    table.content = value
    return table


class ConfigHost:
    """A host that follows configuration and evacuations.

    It knows the other one.
    """

    def __init__(self, loop, name, source):
        self.source = source
        self.configuration = followers.ConfigFollower(
            loop,
            source,
            "config",
            decode_table,
            PAUSE_S,
        )
        self.evacuations = evacuation_follower.EvacuationFollower(
            loop,
            "evacuate/",
            documents.decode_evacuation,
            telemetry.Telemetry(),
        )
        self.configuration.follow_evacuations(self.evacuations)
        self.usable = {}
        self.evacuations.add_listener(self._set_usable)
        self.evacuations.set_endpoints(
            {"p": {f"e{n}": lh.listing(data_centre=f"dc{n}") for n in range(3)}}
        )
        self.peers = []
        self.sharing = store_sharing.StoreSharing(
            loop,
            stage_coordination.Peer(name, ("127.0.0.1", lh.free_ports(1))),
            lambda: self.peers,
            {
                store.Topic.CONFIGURATION: self.configuration.topic_follower,
            },
            KEY,
            http_client.Client(loop),
            random.Random(1),
        )
        self.peer = stage_coordination.Peer(name, self.sharing._socket.address)

    def _set_usable(self, listed):
        self.usable = listed

    def work_in(self):
        """Returns the data centres whose endpoints may get work."""
        listings = self.usable["p"].values()
        return {listing.entry.data_centre for listing in listings}


class WaitingLink(lh.FakeStore):
    """A link whose reads wait for a record, as the store's long polls do."""

    def __init__(self, loop, shared):
        super().__init__(shared)
        self._loop = loop
        self._waiting = []

    def read_changes(self, topic, offset, wait_s):
        if self.error or len(self.log[topic]) > offset:
            return super().read_changes(topic, offset, wait_s)
        self.calls.append("changes")
        fut = tasks.Future()
        until = self._loop.now() + wait_s

        def check():
            records = self._in_era(self.log[topic][offset:])
            if self.error:
                tasks.resolve(fut, self.error)
            elif offset < self.first.get(topic, 0):
                dropped = store.StoreError("dropped", is_dropped=True)
                tasks.resolve(fut, dropped)
            elif records or self._loop.now() >= until:
                self.eras.observe(self.era)
                end = len(self.log[topic])
                tasks.resolve(fut, store.RecordPage(records, end, 0, self.era))
            else:
                self._loop.call_later(0.01, check)

        check()
        return fut
