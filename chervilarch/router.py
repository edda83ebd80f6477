"""`chervilarch-router`: the daemon that serves callers on entry hosts."""

import argparse
import signal
import socket
import sys
import threading
from collections.abc import Callable, Sequence

from chervilarch import (
    byte_room,
    controllers,
    drain,
    environment,
    http_server,
    router_args,
    server,
    settings,
    state_log,
    stop_admission,
    wsgi_server,
)
from chervilarch import loop as loops
from chervilarch.exits import ExitStatus

MAX_HEADER_BYTES = 32 * 1024
# Bound on the bodies of all requests that are read, wait or are served.
_BODY_ROOM_BYTES = 128 * 1024 * 1024
_SMALL_BODY_ROOM_BYTES = 16 * 1024 * 1024
_HEADER_TIMEOUT_S = 10.0
_IDLE_TIMEOUT_S = 10.0
_SHUTDOWN_TIMEOUT_S = 5.0
_RECORD_RESULTS_TIMEOUT_S = 5.0
# End of the grace period, left to send answers and to exit.
_EXIT_MARGIN_S = 0.7
_POLL_INTERVAL_S = 0.05


class Router:
    """Runs the controllers and the HTTP server of this host."""

    def __init__(self, cfg: settings.Settings, env: environment.Environment):
        self._env = env
        self._request_tracker = drain.RequestTracker()
        self._ctrl = controllers.build(cfg, env.clock)
        self._app = server.Application(self._ctrl, cfg, self._request_tracker)
        self._server = _build_server(
            cfg, env, self._app, self._request_tracker.is_draining
        )
        self._stop_requested = threading.Event()

    def start(self) -> None:
        """Starts the controllers and the HTTP server.

        Raises:
            OSError: an address can't be bound.
        """
        controllers.start(self._ctrl)
        self._server.start()
        state_log.log_change("router started", host=self._app.cfg.host)

    def run(self) -> None:
        """Blocks until `request_stop` is called, then drains and stops."""
        self._stop_requested.wait()
        state_log.log_change(
            "drain started", in_flight=self._request_tracker.in_flight()
        )
        notice_s = self._app.cfg.bounds.drain_notice_s
        stop_times = stop_admission.StopTimes(
            self._env.clock.monotonic() + notice_s, self._drain_ends_at()
        )
        self._request_tracker.begin_drain(stop_times)
        threading.Event().wait(notice_s)
        # Waits for all requests; while the listener is open, more may come.
        self._server.stop(_SHUTDOWN_TIMEOUT_S, stop_times.ends_at)
        self._wait_for_results()
        controllers.stop(self._ctrl)
        state_log.log_change("router stopped")

    def _drain_ends_at(self) -> float:
        """Returns when requests in flight are cut off, in monotonic seconds."""
        grace_s = self._app.cfg.bounds.grace_s
        if not grace_s:
            return float("inf")
        return self._env.clock.monotonic() + grace_s - _EXIT_MARGIN_S

    def request_stop(self) -> None:
        """Starts a graceful shutdown; idempotent."""
        self._stop_requested.set()

    def reload(self, cfg: settings.Settings) -> None:
        """Applies the settings that can change without a restart."""
        previous = self._app.cfg
        need_restart = settings.changes_needing_restart(previous, cfg)
        changes = {
            name: getattr(cfg, name) for name in settings.RELOADABLE_FIELDS
        }
        self._app.cfg = previous._replace(**changes)
        state_log.set_up(self._env.stderr, cfg.log_json)
        state_log.log_change(
            "settings read again",
            needs_restart=",".join(need_restart) or "nothing",
        )

    def _wait_for_results(self) -> None:
        """Waits, up to a bound, until the log holds the results of calls."""
        deadline = self._env.clock.monotonic() + _RECORD_RESULTS_TIMEOUT_S
        while self._ctrl.calls.unconfirmed():
            if self._env.clock.monotonic() > deadline:
                state_log.log_fault(
                    "results not recorded", count=self._ctrl.calls.unconfirmed()
                )
                return
            threading.Event().wait(_POLL_INTERVAL_S)


def main(argv: Sequence[str] | None = None) -> int:
    """Parses the command line and runs a router; returns the exit status."""
    args = router_args.build_parser().parse_args(argv)
    return run(args, environment.system_environment())


def run(args: argparse.Namespace, env: environment.Environment) -> int:
    """Runs a router until SIGTERM or SIGINT; SIGHUP reloads its settings."""
    cfg = settings.load(args.settings)
    if isinstance(cfg, settings.SettingsError):
        return _print_faults(env, cfg.faults)
    if args.check:
        print(f"{args.settings}: settings are good", file=env.stdout)
        return ExitStatus.OK
    state_log.set_up(env.stderr, cfg.log_json)
    # CPython's default, set explicitly.
    sys.setswitchinterval(0.005)
    try:
        router = Router(cfg, env)
        router.start()
    except OSError as exc:
        return _print_faults(env, [_describe_bind_error(args, cfg, exc)])
    signal.signal(signal.SIGTERM, lambda *_: router.request_stop())
    signal.signal(signal.SIGINT, lambda *_: router.request_stop())
    signal.signal(signal.SIGHUP, lambda *_: _reload(router, args, env))
    router.run()
    return ExitStatus.OK


def _reload(
    router: Router, args: argparse.Namespace, env: environment.Environment
) -> None:
    cfg = settings.load(args.settings)
    if isinstance(cfg, settings.SettingsError):
        state_log.log_fault("settings refused", faults="; ".join(cfg.faults))
        return
    router.reload(cfg)


def _build_server(
    cfg: settings.Settings,
    env: environment.Environment,
    app: server.Application,
    is_draining: Callable[[], bool],
) -> wsgi_server.WsgiServer:
    limits = http_server.Limits(
        header_bytes=MAX_HEADER_BYTES,
        body_bytes=cfg.bounds.max_body_bytes,
        header_timeout_s=_HEADER_TIMEOUT_S,
        idle_timeout_s=_IDLE_TIMEOUT_S,
        body_timeout_s=cfg.bounds.body_timeout_s,
    )
    return wsgi_server.WsgiServer(
        loops.Loop(env.clock),
        cfg.caller_address,
        app,
        cfg.bounds.threads,
        limits,
        is_draining,
        server.build_rejection,
        server.build_cut_off(),
        byte_room.Room(
            byte_room.Bounds(
                _BODY_ROOM_BYTES,
                cfg.bounds.max_body_bytes,
                _SMALL_BODY_ROOM_BYTES,
            )
        ),
    )


def _describe_bind_error(
    args: argparse.Namespace, cfg: settings.Settings, exc: OSError
) -> str:
    for name in ("caller_address", "peer_address"):
        if not _can_bind(getattr(cfg, name)):
            value = getattr(cfg, name)
            return (
                f"{args.settings}: $.{name} is {value!r}: it can't be bound "
                "here; give an address of this host with a free port"
            )
    return f"{args.settings}: an address can't be bound: {exc}; free its port"


def _can_bind(address: str) -> bool:
    host, port = address.rsplit(":", 1)
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, int(port)))
        except OSError:
            return False
    return True


def _print_faults(env: environment.Environment, faults: list[str]) -> int:
    for fault in faults:
        print(f"chervilarch-router: {fault}", file=env.stderr)
    return ExitStatus.BAD_SETTINGS


if __name__ == "__main__":
    sys.exit(main())
