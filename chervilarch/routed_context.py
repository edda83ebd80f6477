"""The controllers and the request that the filters work on."""

from typing import NamedTuple

from chervilarch import (
    advisories,
    avoidances,
    budgets,
    caller_wait,
    endpoint_limits,
    evacuation_follower,
    fleet,
    followers,
    http_client,
    http_server,
    outcomes,
    permits,
    placement,
    prompt_guard,
    resumption,
    routed,
    routing_table,
    stage_coordination,
    state_log,
    stop_admission,
    store_sharing,
    stream_versions,
    telemetry,
)
from chervilarch import loop as loops
from chervilarch.scheduling import cold_starts, request_cost

_MS_PER_S = 1000


class RoutedControllers(NamedTuple):
    """The controllers of a gateway.

    `answered_routes` names the routes on which any endpoint has answered.
    """

    loop: loops.Loop
    client: http_client.Client
    wire: routed.Wire
    configuration: followers.ConfigFollower
    endpoints: followers.EndpointFollower
    evacuations: evacuation_follower.EvacuationFollower
    placement: placement.Placement
    stage_coordinator: stage_coordination.StageCoordinator
    fleet: fleet.Fleet
    sharing: store_sharing.StoreSharing
    retry_budgets: budgets.PoolBudgets
    meters: telemetry.Telemetry
    caller_wait: caller_wait.WaitEstimator
    answered_routes: set[str]
    advisories: advisories.AdvisoryExchange
    prompt_guard: prompt_guard.PromptGuard
    limits: endpoint_limits.EndpointLimits
    avoided: avoidances.Avoidances
    permits: permits.Permits
    resumption: resumption.Resumption
    stop_admission: stop_admission.StopAdmission
    cold: cold_starts.ColdStarts
    costs: request_cost.CostModel
    versions: stream_versions.StreamVersions


class RoutedContext:
    """One request, its responder and the gateway's controllers."""

    def __init__(
        self,
        ctrl: RoutedControllers,
        req: routed.RoutedRequest,
        responder: http_server.Responder,
    ):
        self.ctrl = ctrl
        self.req = req
        self.responder = responder
        # A request uses the version in force on its arrival throughout.
        self.table: routing_table.RoutingTable | None = ctrl.configuration.table

    def now(self) -> float:
        """Returns the monotonic time in seconds."""
        return self.ctrl.loop.now()

    def remaining_s(self) -> float:
        """Returns the time until the request's deadline in seconds."""
        return self.req.deadline_at - self.now()

    def elapsed_ms(self) -> int:
        """Returns the time since the request's arrival."""
        return self.req.elapsed_ms(self.now())

    def stop_refusal(self, step: stop_admission.Step) -> outcomes.NotRun | None:
        """Returns the refusal of the request if this host stops too soon.

        Nothing of the request's final call was sent yet.

        Args:
            step: what comes next.
        """
        stop, now = self.ctrl.stop_admission, self.now()
        forecast = stop.forecast(self.req, step, now)
        if forecast is None:
            return None
        refusal = stop.refusal(self.req, step, now)
        state_log.log_decision(
            "request during a stop",
            request_id=self.req.id,
            step=step.value,
            is_taken=refusal is None,
            left_ms=round(forecast.left_s * _MS_PER_S),
            deadline_ms=round(forecast.deadline_s * _MS_PER_S),
            known_times=forecast.known_times,
            longest_ms=round(forecast.longest_s * _MS_PER_S),
            allows_estimate=forecast.allows_estimate,
            cut_share=round(forecast.cut_share, 3),
        )
        return refusal

    def record_latency(self) -> None:
        """Records the time from arrival to the answer or its first event."""
        account = self.req.account.name if self.req.account else ""
        self.ctrl.meters.observe_latency(
            account, self.req.route.name, self.now() - self.req.arrived_at
        )
