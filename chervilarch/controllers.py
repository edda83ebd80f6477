"""Creates, connects, starts and stops the controllers of a router.

Each holds one kind of state; several have threads of their own.
"""

import random
from typing import NamedTuple

from chervilarch import (
    account_limits,
    budgets,
    calls_controller,
    clocks,
    config_controller,
    config_transfer,
    configuration,
    endpoint_state,
    endpoints,
    explanations,
    gossip,
    histograms,
    hosts,
    log_client,
    membership,
    metrics,
    rules,
    settings,
    transfers,
)

# Tokens that arrive within this time are delivered together.
STREAM_DELIVERY_PERIOD_S = 0.003


class Controllers(NamedTuple):
    """The controllers of a router and the other state of its process."""

    clock: clocks.Clock
    metrics: metrics.Metrics
    histograms: histograms.Histograms
    explanations: explanations.Explanations
    transfers: transfers.TransferThread
    streams: transfers.TransferThread
    gossip: gossip.GossipController
    configuration: config_controller.ConfigController
    rules: "CurrentRuleset"
    calls: calls_controller.CallsController
    hosts: hosts.HostsController
    endpoints: endpoints.EndpointTable
    account_limits: account_limits.AccountLimits
    config_server: config_transfer.ConfigServer
    retry_budget: budgets.Budget
    hedge_budget: budgets.Budget


class CurrentRuleset:
    """Holds the ruleset of the configuration in force, if there is one."""

    def __init__(self) -> None:
        self.ruleset: rules.Ruleset | None = None

    def update(self, state: configuration.ConfigState) -> None:
        """Builds the ruleset of a new version."""
        self.ruleset = rules.Ruleset(state.document) if state.document else None


def build(cfg: settings.Settings, clock: clocks.Clock) -> Controllers:
    """Creates and connects all controllers without starting them."""
    rng = random.Random()
    counters = metrics.Metrics(cfg.statsd_address)
    transfer_thread = transfers.TransferThread()
    log = log_client.LogClient(cfg.log_address, transfer_thread)
    peer_key = cfg.peer_key.encode()
    own_member = membership.Member(
        cfg.host,
        cfg.peer_address,
        cfg.data_centre,
        gossip.first_incarnation(clock),
        caller_address=cfg.caller_address,
    )
    gossip_ctrl = gossip.GossipController(
        own_member, peer_key, clock, counters, rng
    )
    config_ctrl = config_controller.ConfigController(
        log,
        clock,
        counters,
        rank=gossip_ctrl.rank,
        fetch=lambda address: config_transfer.fetch_configuration(
            address, peer_key
        ),
    )
    endpoint_table = endpoints.EndpointTable(
        cfg.data_centre, clock, counters, rng
    )
    ctrl = Controllers(
        clock=clock,
        metrics=counters,
        histograms=histograms.Histograms(),
        explanations=explanations.Explanations(),
        transfers=transfer_thread,
        streams=transfers.TransferThread("streams", STREAM_DELIVERY_PERIOD_S),
        gossip=gossip_ctrl,
        configuration=config_ctrl,
        rules=CurrentRuleset(),
        calls=calls_controller.CallsController(
            log, clock, counters, writer_count=gossip_ctrl.live_count
        ),
        hosts=hosts.HostsController(
            cfg.host_list_address, transfer_thread, counters
        ),
        endpoints=endpoint_table,
        account_limits=account_limits.AccountLimits(clock, gossip_ctrl),
        config_server=config_transfer.ConfigServer(
            cfg.peer_address, peer_key, counters, lambda: config_ctrl.state
        ),
        retry_budget=budgets.Budget(budgets.RETRY_SHARE),
        hedge_budget=budgets.Budget(budgets.HEDGE_SHARE),
    )
    _connect(ctrl)
    return ctrl


def start(ctrl: Controllers) -> None:
    """Starts every controller."""
    ctrl.transfers.start()
    ctrl.streams.start()
    ctrl.config_server.start()
    ctrl.gossip.start()
    ctrl.configuration.start()
    ctrl.calls.start()
    ctrl.hosts.start()
    ctrl.account_limits.start()


def stop(ctrl: Controllers) -> None:
    """Stops every controller, in the reverse order."""
    ctrl.account_limits.stop()
    ctrl.hosts.stop()
    ctrl.calls.stop()
    ctrl.configuration.stop()
    ctrl.gossip.stop()
    ctrl.config_server.stop()
    ctrl.streams.stop()
    ctrl.transfers.stop()


def _connect(ctrl: Controllers) -> None:
    ctrl.configuration.add_listener(ctrl.rules.update)
    ctrl.configuration.on_progress = ctrl.gossip.set_config
    ctrl.gossip.on_config = ctrl.configuration.handle_peer_state
    ctrl.gossip.on_endpoint_leaving = ctrl.endpoints.mark_leaving
    ctrl.hosts.add_listener(ctrl.gossip.add_listed_hosts)
    ctrl.hosts.add_listener(lambda entries: _update_endpoints(ctrl, entries))


def _update_endpoints(
    ctrl: Controllers, entries: list[hosts.HostEntry]
) -> None:
    for endpoint in ctrl.endpoints.update_list(entries):
        mark_endpoint_leaving(ctrl, endpoint)


def mark_endpoint_leaving(
    ctrl: Controllers, endpoint: endpoint_state.EndpointRun
) -> None:
    """Gives an endpoint no new work and tells the other hosts by gossip."""
    if ctrl.endpoints.mark_leaving(endpoint.key, endpoint.incarnation):
        ctrl.gossip.spread_endpoint_leaving(endpoint.key, endpoint.incarnation)
