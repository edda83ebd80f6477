"""Settings of a gateway: one JSON file, checked before anything starts."""

import pathlib
from typing import NamedTuple

from chervilarch import schemas, settings

# Sockets for gossip, for stages and for news of the store.
_PEER_PORTS = 3


class GatewayBounds(NamedTuple):
    """What the deployment promises; times in seconds.

    Attributes:
        drain_s: time after which a leaving endpoint gets no new work.
        config_s: time after which a new configuration is in force.
        grace_s: time from SIGTERM until the process is killed.
        retry_share: repeats allowed a request, over all hosts.
        retry_fixed: further repeats allowed in a window, over all hosts.
        retry_window_s: length of that window.
    """

    drain_s: float
    config_s: float
    grace_s: float
    retry_share: float
    retry_fixed: float
    retry_window_s: float


class GatewaySettings(NamedTuple):
    """Everything a gateway is told before it starts.

    Attributes:
        host: name of this host.
        data_centre: where it runs.
        caller_address: where callers connect.
        ready_address: where the balancer asks for readiness.
        ip: address of this host for its peers.
        peer_ports: first and last port that is free for peers.
        metrics_port: port of the metrics page.
        store_address: where the platform's store is.
        deployment: keeps the datagrams of deployments apart; the store's
            address unless it is set.
        seeds: addresses of hosts that may be running; peers are met at the
            peer ports of these, the ports given here don't matter.
        cores: speed of this host's processor in cores, 0 if unknown.
        core_share: share of the time for which it may be used.
        bounds: what the deployment promises.
    """

    host: str
    data_centre: str
    caller_address: str
    ready_address: str
    ip: str
    peer_ports: tuple[int, int]
    metrics_port: int
    store_address: str
    deployment: str
    seeds: tuple[str, ...]
    cores: float
    core_share: float
    bounds: GatewayBounds

    def milli_cores(self) -> int:
        """Returns how much of a core this host has in 1/1000, 0 if unknown."""
        return round(1000 * self.cores * self.core_share)

    def seed_ips(self) -> tuple[str, ...]:
        """Returns the IP addresses of the seeds."""
        return tuple(seed.rsplit(":", 1)[0] for seed in self.seeds)


def load(path: pathlib.Path) -> GatewaySettings | settings.SettingsError:
    """Reads and checks a settings file."""
    document = settings.read_json(path)
    if isinstance(document, settings.SettingsError):
        return document
    faults = schemas.check(document, schemas.GATEWAY_SETTINGS)
    if faults:
        return settings.SettingsError([f"{path}: {fault}" for fault in faults])
    defaults = {
        "deployment": document["store_address"],
        "seeds": [],
        "cores": 0.0,
        "core_share": 1.0,
    }
    fields = defaults | document
    fields = {name: fields[name] for name in GatewaySettings._fields}
    bounds = fields["bounds"]
    fields["bounds"] = GatewayBounds(
        *(bounds[name] for name in GatewayBounds._fields)
    )
    fields["seeds"] = tuple(fields["seeds"])
    fields["peer_ports"] = tuple(fields["peer_ports"])
    first, last = fields["peer_ports"]
    if last - first + 1 < _PEER_PORTS:
        return settings.SettingsError(
            [
                f"{path}: peer_ports: {first} to {last} are too few; "
                f"give at least {_PEER_PORTS} free ports"
            ]
        )
    return GatewaySettings(**fields)
