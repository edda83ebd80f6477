"""Settings of a gateway: one JSON file, validated before anything starts."""

import pathlib
from typing import NamedTuple

from chervilarch import schemas, settings

# One each for gossip, stages, topic updates of the store, advisories, permits.
_PEER_PORTS = 5


class GatewayBounds(NamedTuple):
    """Bounds that the deployment requires; times in seconds.

    Attributes:
        drain_s: longest time until a leaving endpoint gets no new work. This
            host's own drain is limited by `grace_s`.
        config_s: longest time until a new configuration is in force.
        grace_s: time from SIGTERM until the process is killed.
        retry_share: retries allowed for each request, over all hosts.
        retry_fixed: further retries allowed in a window, over all hosts.
        retry_window_s: length of that window.
        evacuate_s: longest time until an evacuated data centre gets no new
            work; None if the deployment has no such bound.
        cold_over: factor on the requests a second that a cold endpoint takes;
            None for no bound.
        cold_slack: requests in a second allowed in addition; None for no bound.
    """

    drain_s: float
    config_s: float
    grace_s: float
    retry_share: float
    retry_fixed: float
    retry_window_s: float
    evacuate_s: float | None = None
    cold_over: float | None = None
    cold_slack: float | None = None


class GatewaySettings(NamedTuple):
    """Settings of one gateway.

    Attributes:
        host: name of this host.
        data_centre: data centre in which it runs.
        caller_address: address that callers connect to.
        ready_address: address of the balancer's readiness checks.
        ip: IP address at which peers reach this host.
        peer_ports: first and last port that this host may use for peers.
        metrics_port: port of the metrics page.
        store_address: address of the platform's store.
        deployment: name that keeps the datagrams of deployments apart; the
            store's address by default.
        seeds: addresses of hosts that may be running. Only their IP addresses
            count; the ports are those of `peer_ports`.
        cores: processor cores of this host, a fraction too; 0 if unknown.
        core_share: share of the time of `cores` that this host may use.
        memory_mb: memory at which the process is killed; 0 if unknown.
        bounds: bounds that the deployment requires.
        regions: region of each data centre, as far as it is known.
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
    memory_mb: float
    bounds: GatewayBounds
    regions: dict[str, str] = {}

    def milli_cores(self) -> int:
        """Returns the usable cores in thousandths, 0 if unknown."""
        return round(1000 * self.cores * self.core_share)

    def seed_ips(self) -> tuple[str, ...]:
        """Returns the IP addresses of the seeds."""
        return tuple(seed.rsplit(":", 1)[0] for seed in self.seeds)


def load(path: pathlib.Path) -> GatewaySettings | settings.SettingsError:
    """Reads and validates a settings file."""
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
        "memory_mb": 0.0,
        "regions": {},
    }
    fields = defaults | document
    fields = {name: fields[name] for name in GatewaySettings._fields}
    bounds = fields["bounds"]
    fields["bounds"] = GatewayBounds(
        **{
            name: bounds[name]
            for name in GatewayBounds._fields
            if name in bounds
        }
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
