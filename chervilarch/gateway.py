"""`chervilarch-gateway`: the daemon on entry hosts of the users' platform."""

import argparse
import random
import signal
from collections.abc import Sequence

from chervilarch import (
    budgets,
    caller_wait,
    environment,
    fleet,
    followers,
    gateway_args,
    gateway_settings,
    gossip,
    inbound,
    membership,
    outgoing,
    pages,
    piece_runner,
    placement,
    serving,
    settings,
    stage_coordination,
    stage_scheduler,
    state_log,
    store,
    store_sharing,
    telemetry,
)
from chervilarch import loop as loops
from chervilarch.exits import ExitStatus
from chervilarch.platform import documents, wire
from chervilarch.platform import store as platform_store
from chervilarch.routed_context import RoutedControllers

# The endpoint list is read this many times within the time after which a
# leaving endpoint must get no new work, and the configuration within the time
# after which a new one must be in force.
_LIST_READS_PER_BOUND = 2.5
_CONFIG_READS_PER_BOUND = 2.0
# The balancer asks once a second and takes a host out after two misses.
_DRAIN_NOTICE_S = 2.5
_DRAIN_POLL_S = 0.05
# Time kept at the end of the grace period for the process to end, and before
# that to pass on the answers to requests that are cut off.
_EXIT_MARGIN_S = 0.5
_LAST_ANSWERS_S = 0.2
# A host that knows no other takes the budget as shared by so many.
_LEAST_HOSTS = 4
# Stage work is repeated by its gathering host only; a partition makes more.
_COORDINATORS = 3
_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
_TEXT = "text/plain; charset=utf-8"


class Gateway:
    """A running daemon: its controllers, its listeners and its signals."""

    def __init__(
        self,
        cfg: gateway_settings.GatewaySettings,
        env: environment.Environment,
        meters: telemetry.Telemetry,
    ):
        self._cfg = cfg
        self._loop = loops.Loop(env.clock)
        self._meters = meters
        self._phase = serving.Phase()
        client = outgoing.Client(self._loop)
        source = platform_store.StoreClient(client, cfg.store_address)
        self._ctrl = build(cfg, self._loop, meters, client, source)
        self._handler = serving.CallerHandler(self._ctrl, self._phase)
        self._callers = inbound.Server(
            self._loop, cfg.caller_address, self._handler
        )
        self._ready = inbound.Server(
            self._loop, cfg.ready_address, pages.PageHandler(self._ready_page)
        )
        self._metrics = inbound.Server(
            self._loop,
            f"{cfg.ip}:{cfg.metrics_port}",
            pages.PageHandler(self._metrics_page),
        )
        self._asked_to_stop = False
        self._drain_began_at = 0.0
        self._was_ready = False

    def run(self) -> None:
        """Serves until a shutdown has ended."""
        self._ctrl.configuration.follower.start()
        self._ctrl.endpoints.follower.start()
        self._ctrl.fleet.start()
        state_log.log_change(
            "gateway started",
            host=self._cfg.host,
            data_centre=self._cfg.data_centre,
            callers=self._cfg.caller_address,
        )
        self._check()
        self._loop.run()
        self._close()
        state_log.log_change("gateway stopped", host=self._cfg.host)

    def _close(self) -> None:
        """Ends what still runs, so that nothing is left half done."""
        self._ctrl.stages.close()
        self._ctrl.fleet.stop()
        self._ctrl.sharing.close()
        self._ctrl.client.close()

    def _take_signals(self) -> None:
        """Takes the blocked signals that wait, each kind once."""
        # One by one: a flood of one kind must not hide another.
        taken = [n for n in _SIGNALS if signal.sigtimedwait([n], 0)]
        if signal.SIGTERM in taken or signal.SIGINT in taken:
            self._asked_to_stop = True
        if signal.SIGHUP in taken:
            state_log.log_change(
                "settings read again", needs_restart="every changed field"
            )

    def not_ready_reason(self) -> str:
        """Returns why the balancer should send nothing here, or ""."""
        if self._phase.is_draining:
            return "shutting down"
        if self._ctrl.configuration.table is None:
            return "no configuration yet"
        if self._ctrl.endpoints.follower.read_at == float("-inf"):
            return "the list of endpoints was not read yet"
        return ""

    def _check(self) -> None:
        """Notices signals, changes of readiness and of the fleet's size."""
        self._take_signals()
        self._ctrl.retry_budgets.set_hosts(self._ctrl.fleet.size())
        is_ready = not self.not_ready_reason()
        if is_ready != self._was_ready:
            self._was_ready = is_ready
            state_log.log_change(
                "readiness changed",
                ready=is_ready,
                reason=self.not_ready_reason(),
            )
        if self._asked_to_stop and not self._phase.is_draining:
            self._begin_drain()
        self._loop.call_later(_DRAIN_POLL_S, self._check)

    def _begin_drain(self) -> None:
        self._phase.is_draining = True
        self._drain_began_at = self._loop.now()
        self._ctrl.fleet.leave()
        self._ctrl.stages.leave()
        state_log.log_change("drain started", in_flight=self._phase.in_flight)
        self._loop.call_later(_DRAIN_NOTICE_S, self._stop_accepting)

    def _stop_accepting(self) -> None:
        self._callers.stop_accepting()
        self._finish_drain()

    def _finish_drain(self) -> None:
        """Ends once nothing is in flight, or when the grace period ends."""
        self._callers.close_idle()
        grace_s = self._cfg.bounds.grace_s - _EXIT_MARGIN_S
        elapsed_s = self._loop.now() - self._drain_began_at
        if elapsed_s >= grace_s - _LAST_ANSWERS_S and self._phase.in_flight:
            state_log.log_fault(
                "requests cut off", in_flight=self._phase.in_flight
            )
            self._handler.cut_off()
        if elapsed_s >= grace_s or not self._callers.connection_count():
            self._loop.stop()
            return
        self._loop.call_later(_DRAIN_POLL_S, self._finish_drain)

    def _ready_page(self, target: str) -> tuple[int, str, bytes]:
        if not wire.is_readiness_check(target):
            return 404, _TEXT, b"no such page\n"
        reason = self.not_ready_reason()
        if reason:
            return 503, _TEXT, f"not ready: {reason}\n".encode()
        return 200, _TEXT, b"ready\n"

    def _metrics_page(self, target: str) -> tuple[int, str, bytes]:
        return 200, _TEXT, self._meters.text()


def build(
    cfg: gateway_settings.GatewaySettings,
    loop: loops.Loop,
    meters: telemetry.Telemetry,
    client: outgoing.Client,
    source: store.Store,
) -> RoutedControllers:
    """Creates all controllers and connects them; nothing is started."""
    rng = random.Random()
    http = wire.HttpWire()
    retry_budgets = budgets.PoolBudgets(
        cfg.bounds.retry_share,
        cfg.bounds.retry_fixed,
        cfg.bounds.retry_window_s,
    )
    configuration = followers.ConfigFollower(
        loop,
        source,
        platform_store.CONFIGURATION_KEY,
        documents.decode_configuration,
        cfg.bounds.config_s / _CONFIG_READS_PER_BOUND,
    )
    retry_budgets.set_hosts(_LEAST_HOSTS)
    endpoints = followers.EndpointFollower(
        loop,
        source,
        documents.decode_endpoint,
        cfg.bounds.drain_s / _LIST_READS_PER_BOUND,
    )
    place = placement.Placement(cfg.data_centre, loop.clock, rng)
    engines = placement.Placement(cfg.data_centre, loop.clock, rng)
    stage_budgets = budgets.PoolBudgets(
        cfg.bounds.retry_share,
        cfg.bounds.retry_fixed,
        cfg.bounds.retry_window_s,
    )
    stage_budgets.set_hosts(_COORDINATORS)
    runner = piece_runner.PieceRunner(
        loop, client, http, stage_budgets, meters, endpoints.mark_gone
    )
    key = fleet.deployment_key(cfg.deployment)
    own = membership.Member(
        cfg.host,
        f"{cfg.ip}:{cfg.peer_ports[0]}",
        cfg.data_centre,
        gossip.first_incarnation(loop.clock),
        caller_address=cfg.caller_address,
        milli_cores=cfg.milli_cores(),
    )
    hosts = fleet.Fleet(loop, source, own, key, loop.clock, rng, cfg.seed_ips())
    stages = stage_coordination.StageCoordinator(
        loop,
        stage_scheduler.StageScheduler(loop, runner, engines),
        fleet.stage_peer(own),
        hosts.peers,
        key,
    )
    sharing = store_sharing.StoreSharing(
        loop,
        fleet.store_peer(own),
        hosts.neighbours,
        hosts.store_peers,
        {
            store.Topic.CONFIGURATION: configuration.follower,
            store.Topic.ENDPOINTS: endpoints.follower,
        },
        key,
        client,
        rng,
    )
    configuration.add_listener(lambda table: runner.set_pools(table.pools))
    endpoints.add_listener(place.set_endpoints)
    endpoints.add_listener(engines.set_endpoints)
    endpoints.add_listener(runner.set_endpoints)
    return RoutedControllers(
        loop=loop,
        client=client,
        wire=http,
        configuration=configuration,
        endpoints=endpoints,
        placement=place,
        stages=stages,
        fleet=hosts,
        sharing=sharing,
        retry_budgets=retry_budgets,
        meters=meters,
        caller_wait=caller_wait.WaitEstimator(),
        answered_routes=set(),
    )


def main(argv: Sequence[str] | None = None) -> int:
    """Runs the program; returns its exit status."""
    args = gateway_args.build_parser().parse_args(argv)
    return run(args, environment.system_environment())


def run(args: argparse.Namespace, env: environment.Environment) -> int:
    """Runs a gateway until it is asked to stop."""
    cfg = gateway_settings.load(args.settings)
    if isinstance(cfg, settings.SettingsError):
        return _fail(env, cfg.faults)
    if args.check:
        print(f"{args.settings}: settings are good", file=env.stdout)
        return ExitStatus.OK
    # Blocked in every thread and taken by the loop: handlers would run inside
    # each other in a flood, and the interpreter sets them back to the default
    # before the process has ended.
    signal.pthread_sigmask(signal.SIG_BLOCK, _SIGNALS)
    meters = telemetry.Telemetry()
    log_handler = state_log.BoundedHandler(env.stdout.fileno())
    log_handler.on_left_out = meters.count_left_out
    state_log.set_up_bounded(log_handler)
    try:
        gateway = Gateway(cfg, env, meters)
    except OSError as exc:
        return _fail(env, [f"an address can't be bound: {exc}; free its port"])
    gateway.run()
    return ExitStatus.OK


def _fail(env: environment.Environment, faults: list[str]) -> int:
    for fault in faults:
        print(f"chervilarch-gateway: {fault}", file=env.stderr)
    return ExitStatus.BAD_SETTINGS
