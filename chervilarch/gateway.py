"""`chervilarch-gateway`: the daemon on entry hosts of the platform."""

import argparse
import functools
import random
import signal
from collections.abc import Sequence

from chervilarch import (
    advisories,
    avoidances,
    budgets,
    byte_room,
    caller_wait,
    cold_endpoints,
    descriptors,
    endpoint_limits,
    environment,
    evacuation_follower,
    fleet,
    followers,
    gateway_args,
    gateway_settings,
    gossip,
    http_client,
    http_server,
    membership,
    memory_limits,
    pages,
    permits,
    piece_runner,
    placement,
    process_memory,
    prompt_guard,
    resumption,
    serving,
    settings,
    stage_coordination,
    stage_scheduler,
    state_log,
    stop_admission,
    store,
    store_sharing,
    stream_records,
    stream_versions,
    telemetry,
    topic_follower,
)
from chervilarch import loop as loops
from chervilarch.exits import ExitStatus
from chervilarch.platform import documents, wire
from chervilarch.platform import store as platform_store
from chervilarch.routed_context import RoutedControllers
from chervilarch.scheduling import cold_starts, homes, request_cost

# Reads of the endpoint list within `drain_s`, after which a leaving endpoint
# must get no new work.
_LIST_READS_PER_BOUND = 2.5
# Reads of the configuration within `config_s`, after which a new one must be in
# force, and within `evacuate_s`.
_CONFIG_READS_PER_BOUND = 2.0
# The balancer checks readiness once a second and removes a host after two
# failed checks; until then it still opens connections.
_DRAIN_NOTICE_S = 2.5
_POLL_INTERVAL_S = 0.05
_MEMORY_CHECK_INTERVAL_S = 0.5
# End of the grace period, left for the process to exit.
_EXIT_MARGIN_S = 0.5
# Time before that margin to send the answers of requests that are cut off.
_CUT_OFF_MARGIN_S = 0.2
# Smallest number of hosts that the retry budgets are divided by, for a host
# that knows no other yet.
_MIN_HOSTS = 4
# Coordinators that share the retry budget of stage calls. Usually only one host
# retries them, but a network partition makes more hosts coordinators.
_MAX_COORDINATORS = 3
_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
_TEXT_CONTENT_TYPE = "text/plain; charset=utf-8"


class Gateway:
    """The running daemon: controllers, listeners and signal handling."""

    def __init__(
        self,
        cfg: gateway_settings.GatewaySettings,
        env: environment.Environment,
        meters: telemetry.Telemetry,
    ):
        self._cfg = cfg
        self._loop = loops.Loop(env.clock)
        self._meters = meters
        self._serving_state = serving.ServingState()
        bounds = memory_limits.room_bounds(cfg.memory_mb)
        client = http_client.Client(self._loop, bounds)
        store_client = platform_store.StoreClient(client, cfg.store_address)
        self._ctrl = build_controllers(
            cfg, self._loop, meters, client, store_client
        )
        self._handler = serving.CallerHandler(self._ctrl, self._serving_state)
        self._max_connections = descriptors.max_caller_connections()
        self._caller_server = http_server.Server(
            self._loop,
            cfg.caller_address,
            self._handler,
            answer_room=client.room,
            body_room=byte_room.Room(bounds),
            max_connections=self._max_connections,
            count_slow_caller=meters.count_slow_caller,
        )
        self._ready_server = http_server.Server(
            self._loop, cfg.ready_address, pages.PageHandler(self._ready_page)
        )
        self._metrics_server = http_server.Server(
            self._loop,
            f"{cfg.ip}:{cfg.metrics_port}",
            pages.PageHandler(self._metrics_page),
        )
        self._stop_requested = False
        self._drain_started_at = 0.0
        self._was_ready = False
        self._memory_peak = process_memory.PeakLog()

    def run(self) -> None:
        """Serves until a shutdown is complete."""
        self._ctrl.configuration.topic_follower.start()
        self._ctrl.endpoints.topic_follower.start()
        self._ctrl.fleet.start()
        self._ctrl.advisories.start()
        self._ctrl.prompt_guard.start()
        self._ctrl.versions.start()
        state_log.log_change(
            "gateway started",
            host=self._cfg.host,
            data_centre=self._cfg.data_centre,
            callers=self._cfg.caller_address,
            max_connections=self._max_connections,
        )
        self._poll()
        self._loop.call_every(_POLL_INTERVAL_S, self._poll)
        self._loop.call_every(_MEMORY_CHECK_INTERVAL_S, self._check_memory)
        self._loop.run()
        self._close()
        state_log.log_change("gateway stopped", host=self._cfg.host)

    def _close(self) -> None:
        """Closes the controllers, so that no work is left half done."""
        self._ctrl.stage_coordinator.close()
        self._ctrl.fleet.stop()
        self._ctrl.sharing.close()
        self._ctrl.advisories.close()
        self._ctrl.permits.close()
        self._ctrl.client.close()

    def _handle_signals(self) -> None:
        """Handles pending blocked signals, at most one of each kind."""
        # Polls each kind alone: with all in one set, many signals of one kind
        # could keep another pending.
        pending = [n for n in _SIGNALS if signal.sigtimedwait([n], 0)]
        if signal.SIGTERM in pending or signal.SIGINT in pending:
            self._stop_requested = True
        if signal.SIGHUP in pending:
            # A gateway reloads nothing; `needs_restart` tells the operator so.
            state_log.log_change(
                "settings read again", needs_restart="every changed field"
            )

    def not_ready_reason(self) -> str:
        """Returns why this host isn't ready for connections, or ""."""
        if self._serving_state.is_draining:
            return "shutting down"
        if self._ctrl.configuration.table is None:
            return "no configuration yet"
        if self._ctrl.endpoints.topic_follower.read_at == float("-inf"):
            return "the list of endpoints was not read yet"
        if not (
            self._ctrl.configuration.topic_follower.may_serve
            and self._ctrl.endpoints.topic_follower.may_serve
        ):
            return "no other host was asked yet for what it knows"
        return ""

    def _poll(self) -> None:
        """Handles signals and changes of readiness and of the known hosts."""
        self._handle_signals()
        self._ctrl.retry_budgets.set_hosts(self._ctrl.fleet.known_count())
        cold_endpoints.set_hosts(
            self._ctrl.cold, self._ctrl.fleet, self._loop.now()
        )
        is_ready = not self.not_ready_reason()
        if is_ready != self._was_ready:
            self._was_ready = is_ready
            state_log.log_change(
                "readiness changed",
                ready=is_ready,
                reason=self.not_ready_reason(),
            )
        if self._stop_requested and not self._serving_state.is_draining:
            self._begin_drain()

    def _check_memory(self) -> None:
        size = process_memory.private_bytes()
        reply_bytes = self._ctrl.client.room.size
        unread_bytes = self._caller_server.unsent.size()
        self._meters.set_memory(size, reply_bytes, unread_bytes)
        self._memory_peak.observe(
            size,
            reply_bytes=reply_bytes,
            unread_bytes=unread_bytes,
            connections=self._caller_server.connection_count(),
            in_flight=self._serving_state.in_flight,
        )

    def _begin_drain(self) -> None:
        self._serving_state.is_draining = True
        self._drain_started_at = self._loop.now()
        self._ctrl.stop_admission.begin(
            self._drain_started_at + _DRAIN_NOTICE_S,
            self._drain_started_at
            + self._cfg.bounds.grace_s
            - _EXIT_MARGIN_S
            - _CUT_OFF_MARGIN_S,
        )
        self._ctrl.fleet.leave()
        self._ctrl.stage_coordinator.leave()
        self._ctrl.permits.leave()
        state_log.log_change(
            "drain started", in_flight=self._serving_state.in_flight
        )
        self._loop.call_later(_DRAIN_NOTICE_S, self._stop_accepting)

    def _stop_accepting(self) -> None:
        self._loop.call_every(_POLL_INTERVAL_S, self._finish_drain)
        self._caller_server.stop_accepting()
        self._finish_drain()

    def _finish_drain(self) -> None:
        """Stops the loop once no caller is connected or the time is up.

        Requests that are still in flight or being read shortly before the end
        of the grace period are answered.
        """
        self._caller_server.close_idle()
        grace_s = self._cfg.bounds.grace_s - _EXIT_MARGIN_S
        elapsed_s = self._loop.now() - self._drain_started_at
        if elapsed_s >= grace_s - _CUT_OFF_MARGIN_S:
            if self._serving_state.in_flight:
                state_log.log_fault(
                    "requests cut off", in_flight=self._serving_state.in_flight
                )
            self._handler.cut_off()
            self._caller_server.refuse_unread()
        if elapsed_s >= grace_s or not self._caller_server.connection_count():
            self._loop.stop()

    def _ready_page(self, target: str) -> tuple[int, str, bytes]:
        if not wire.is_readiness_check(target):
            return 404, _TEXT_CONTENT_TYPE, b"no such page\n"
        reason = self.not_ready_reason()
        if reason:
            return 503, _TEXT_CONTENT_TYPE, f"not ready: {reason}\n".encode()
        return 200, _TEXT_CONTENT_TYPE, b"ready\n"

    def _metrics_page(self, target: str) -> tuple[int, str, bytes]:
        return 200, _TEXT_CONTENT_TYPE, self._meters.text()


def build_controllers(
    cfg: gateway_settings.GatewaySettings,
    loop: loops.Loop,
    meters: telemetry.Telemetry,
    client: http_client.Client,
    store_client: store.Store,
) -> RoutedControllers:
    """Creates and connects all controllers, without starting any."""
    rng = random.Random()
    http_wire = wire.HttpWire()
    retry_budgets = budgets.PoolBudgets(
        cfg.bounds.retry_share,
        cfg.bounds.retry_fixed,
        cfg.bounds.retry_window_s,
    )
    resuming = resumption.Resumption(loop)
    configuration = followers.ConfigFollower(
        loop,
        store_client,
        platform_store.CONFIGURATION_KEY,
        documents.decode_configuration,
        min(cfg.bounds.config_s, cfg.bounds.evacuate_s or cfg.bounds.config_s)
        / _CONFIG_READS_PER_BOUND,
    )
    evacuations = evacuation_follower.EvacuationFollower(
        loop,
        platform_store.EVACUATION_PREFIX,
        documents.decode_evacuation,
        meters,
    )
    configuration.follow_evacuations(evacuations)
    retry_budgets.set_hosts(_MIN_HOSTS)
    endpoints = followers.EndpointFollower(
        loop,
        store_client,
        documents.decode_endpoint,
        cfg.bounds.drain_s / _LIST_READS_PER_BOUND,
    )
    for follower in (configuration.topic_follower, endpoints.topic_follower):
        resuming.add_check(functools.partial(_is_confirmed, follower))
    avoided = avoidances.Avoidances(loop.clock, rng, meters.count_avoidance)
    cold = cold_starts.ColdStarts(cold_endpoints.log_cold)
    cold_endpoints.connect(cold, cfg.bounds, configuration, endpoints)
    # Evacuated endpoints may have become cold meanwhile.
    evacuations.on_ended = lambda data_centre: cold.begin_warm_up(
        data_centre, loop.now()
    )
    regions = homes.Regions(cfg.regions)
    own_placement = placement.Placement(
        cfg.data_centre, loop.clock, rng, avoided, cold, regions=regions
    )
    # Load of the final calls of all stage graphs that run here, also of remote
    # runs, which run for other hosts. `own_placement` has only the calls that
    # this host sends.
    coordinator_placement = placement.Placement(
        cfg.data_centre,
        loop.clock,
        rng,
        avoided,
        cold,
        only_proposes=True,
        regions=regions,
    )
    stage_budgets = budgets.PoolBudgets(
        cfg.bounds.retry_share,
        cfg.bounds.retry_fixed,
        cfg.bounds.retry_window_s,
    )
    stage_budgets.set_hosts(_MAX_COORDINATORS)
    limits = endpoint_limits.EndpointLimits(loop)
    runner = piece_runner.PieceRunner(
        loop,
        client,
        http_wire,
        stage_budgets,
        meters,
        endpoints.mark_ended,
        endpoints.mark_leaving,
        limits,
        avoided,
        cold,
        regions,
    )
    runner.confirmed = resuming.confirmed
    runner.may_serve = lambda: all(
        follower.may_serve or not follower.has_peers()
        for follower in (configuration.topic_follower, endpoints.topic_follower)
    )
    runner.is_pool_evacuated = evacuations.is_pool_evacuated
    key = fleet.deployment_key(cfg.deployment)
    own = membership.Member(
        cfg.host,
        f"{cfg.ip}:{cfg.peer_ports[0]}",
        cfg.data_centre,
        gossip.first_incarnation(loop.clock),
        caller_address=cfg.caller_address,
        milli_cores=cfg.milli_cores(),
    )
    gateways = fleet.Fleet(
        loop, store_client, own, key, loop.clock, rng, cfg.seed_ips()
    )
    stages = stage_coordination.StageCoordinator(
        loop,
        stage_scheduler.StageScheduler(loop, runner, coordinator_placement),
        fleet.peer(own, fleet.PeerPort.STAGES),
        functools.partial(gateways.peers, fleet.PeerPort.STAGES),
        key,
    )
    sharing = store_sharing.StoreSharing(
        loop,
        fleet.peer(own, fleet.PeerPort.STORE),
        functools.partial(gateways.peers, fleet.PeerPort.STORE),
        {
            store.Topic.CONFIGURATION: configuration.topic_follower,
            store.Topic.ENDPOINTS: endpoints.topic_follower,
        },
        key,
        client,
        rng,
    )
    exchange = advisories.AdvisoryExchange(
        loop,
        fleet.peer(own, fleet.PeerPort.ADVISORIES),
        functools.partial(gateways.peers, fleet.PeerPort.ADVISORIES),
        key,
        rng,
    )
    resuming.add_check(lambda resumed_at: exchange.has_answer())
    exchange.add_source(limits)
    limits.publish = exchange.publish
    exchange.add_source(avoided)
    avoided.publish = exchange.publish
    request_permits = permits.Permits(
        loop,
        fleet.peer(own, fleet.PeerPort.PERMITS),
        functools.partial(gateways.peers, fleet.PeerPort.PERMITS),
        key,
        limits,
        rng,
    )
    guard = prompt_guard.PromptGuard(loop, exchange, meters, rng, store_client)
    versions = stream_versions.StreamVersions(
        loop,
        loop.clock,
        stream_records.StreamRecords(
            loop, store_client, loop.clock, rng, gateways.host_count
        ),
        rng,
        gateways.host_count,
    )
    versions.list_read_at = lambda: endpoints.topic_follower.read_at
    versions.list_followed_since = lambda: endpoints.followed_since
    versions.list_read = endpoints.next_read
    versions.is_list_old = endpoints.topic_follower.is_outdated
    endpoints.add_full_listener(versions.set_endpoints)
    configuration.add_listener(versions.set_routes)
    costs = request_cost.CostModel()
    configuration.add_listener(
        lambda table: costs.keep_routes(r.name for r in table.routes())
    )
    configuration.add_listener(lambda table: runner.set_pools(table.pools))
    configuration.add_listener(
        lambda table: coordinator_placement.set_pools(table.pools)
    )
    evacuations.add_listener(own_placement.set_endpoints)
    evacuations.add_listener(coordinator_placement.set_endpoints)
    evacuations.add_listener(runner.set_endpoints)
    endpoints.add_listener(evacuations.set_endpoints)
    endpoints.add_listener(guard.set_endpoints)
    return RoutedControllers(
        loop=loop,
        client=client,
        wire=http_wire,
        configuration=configuration,
        endpoints=endpoints,
        evacuations=evacuations,
        placement=own_placement,
        stage_coordinator=stages,
        fleet=gateways,
        sharing=sharing,
        retry_budgets=retry_budgets,
        meters=meters,
        caller_wait=caller_wait.WaitEstimator(),
        answered_routes=set(),
        advisories=exchange,
        prompt_guard=guard,
        limits=limits,
        avoided=avoided,
        permits=request_permits,
        resumption=resuming,
        stop_admission=stop_admission.StopAdmission(gateways.has_neighbour),
        cold=cold,
        costs=costs,
        versions=versions,
    )


def _is_confirmed(
    follower: topic_follower.TopicFollower, resumed_at: float
) -> bool:
    has_asked = follower.has_joined or not follower.has_peers()
    return has_asked and follower.read_at >= resumed_at


def main(argv: Sequence[str] | None = None) -> int:
    """Runs the program; returns its exit status."""
    args = gateway_args.build_parser().parse_args(argv)
    return run(args, environment.system_environment())


def run(args: argparse.Namespace, env: environment.Environment) -> int:
    """Runs a gateway until a signal stops it."""
    cfg = gateway_settings.load(args.settings)
    if isinstance(cfg, settings.SettingsError):
        return _report_faults(env, cfg.faults)
    if args.check:
        print(f"{args.settings}: settings are good", file=env.stdout)
        return ExitStatus.OK
    # Signals are blocked in every thread and polled by the loop. Handlers would
    # nest when many signals arrive, and the interpreter restores the default
    # ones before the process has ended.
    signal.pthread_sigmask(signal.SIG_BLOCK, _SIGNALS)
    meters = telemetry.Telemetry()
    log_handler = state_log.RateLimitedHandler(env.stdout.fileno())
    log_handler.on_dropped = meters.count_dropped_lines
    state_log.set_up_rate_limited(log_handler)
    try:
        gateway = Gateway(cfg, env, meters)
    except OSError as exc:
        return _report_faults(
            env, [f"an address can't be bound: {exc}; free its port"]
        )
    gateway.run()
    return ExitStatus.OK


def _report_faults(env: environment.Environment, faults: list[str]) -> int:
    for fault in faults:
        print(f"chervilarch-gateway: {fault}", file=env.stderr)
    return ExitStatus.BAD_SETTINGS
