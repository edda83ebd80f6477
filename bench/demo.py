"""`make demo`: the main tasks of a deployment on loopback.

Starts stand-ins and three routers, publishes the day's sheet, runs a streamed
request of four stages, a non-repeatable call with one key through two
routers, and a refused request; then stops everything.
"""

import argparse
import json
import signal
import sys
import time

from bench import deployments, fleet
from standins import endpoint as standin

_ROUTERS = 3
_HOLD_TIMEOUT_S = 3600


class DemoError(Exception):
    """A step of the demonstration failed."""


def main() -> int:
    """Runs the demonstration; returns its exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--deployment", choices=deployments.DEPLOYMENTS, default="association"
    )
    parser.add_argument(
        "--hold", action="store_true", help="keep everything running"
    )
    args = parser.parse_args()
    deployment = deployments.DEPLOYMENTS[args.deployment]
    started = time.monotonic()
    # SIGTERM stops the started processes too, as Ctrl-C does.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        with fleet.Fleet(
            deployment.specs, deployment.data_centres, _ROUTERS
        ) as running:
            _run(running, deployment)
            if args.hold:
                _hold(running, deployment)
    except (DemoError, fleet.FleetError) as exc:
        print(f"demo failed: {exc}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        print("stopped")
    print(f"all processes stopped after {time.monotonic() - started:.1f} s")
    return 0


def _run(running: fleet.Fleet, deployment: deployments.Deployment) -> None:
    print(f"{deployment.name}: {len(running.processes)} processes started")
    version = running.publish(
        deployment.sheet_path(), deployment.deployment_path()
    )
    running.wait_in_force(version)
    running.wait_endpoints_known()
    print(f"version {version} is in force on {len(running.routers)} routers")
    _show_stream(running, deployment)
    _show_non_repeatable_call(running, deployment)
    _show_refusal(running, deployment)
    print()
    print(_status_report(running))


def _show_stream(
    running: fleet.Fleet, deployment: deployments.Deployment
) -> None:
    prompt = "Draft a summary of the long dossier."
    response = fleet.run_pipeline(
        running.routers[0],
        deployment.multi_stage_pipeline,
        prompt,
        deployment.account,
        stream=True,
    )
    text = response.body.decode()
    _expect(response.status == 200, f"status {response.status}: {text}")
    *_, last = text.strip().split("\n\n")
    _expect(last.startswith("event: end\n"), f"no end event: {last}")
    output = json.loads(last.split("data: ", 1)[1])["output"]
    expected = "".join(standin.token_text(prompt, i) for i in range(64))
    _expect(output == expected, "the output is not the request's own")
    tokens = text.count("event: token")
    print(f"\n{deployment.multi_stage_pipeline}: {tokens} tokens, whole")
    print(f"  {output[:60]}...")


def _show_non_repeatable_call(
    running: fleet.Fleet, deployment: deployments.Deployment
) -> None:
    key = fleet.new_key()
    outputs = []
    for router in running.routers[:2]:
        response = fleet.run_pipeline(
            router,
            deployment.non_repeatable_pipeline,
            "Kiyomizu gate, Tuesday",
            deployment.account,
            key,
        )
        _expect(response.status == 200, f"{response.status}: {response.body!r}")
        outputs.append(response.json()["output"])
        print(
            f"{deployment.non_repeatable_pipeline} through {router.name}: "
            f"{outputs[-1]}"
        )
    _expect(
        outputs[0] == outputs[1],
        "two routers gave different answers to one key",
    )
    executions = sum(
        fleet.endpoint_counts(endpoint)["total"]
        for endpoint in running.endpoints
        if endpoint.spec.pool == deployment.non_repeatable_pool
    )
    _expect(executions == 1, f"the service ran it {executions} times")
    print(f"the service's books show {executions} execution for key {key}")


def _show_refusal(
    running: fleet.Fleet, deployment: deployments.Deployment
) -> None:
    response = fleet.run_pipeline(
        running.routers[0],
        deployment.multi_stage_pipeline,
        "too hasty",
        deployment.account,
        headers={"Deadline-Ms": "5"},
    )
    problem = response.json()
    _expect(problem["outcome"] == "not_run", f"not refused: {problem}")
    print(f"refused: {problem['detail']}; remedy: {problem['remedy']}")


def _status_report(running: fleet.Fleet) -> str:
    return running.run_tool(
        "status",
        "--router",
        running.routers[0].address,
        "--key-file",
        str(running.write_key_file()),
    )


def _hold(running: fleet.Fleet, deployment: deployments.Deployment) -> None:
    print("\nrunning; stop with Ctrl-C")
    for router in running.routers:
        print(f"  {router.name}: http://{router.address}")
    address = running.routers[0].address
    print(
        f"\ncurl -N http://{address}/v1/pipelines/"
        f"{deployment.multi_stage_pipeline}/runs \\\n"
        f"  -H 'Authorization: Bearer {deployment.account}-key' \\\n"
        "  -H 'Content-Type: application/json' \\\n"
        '  -d \'{"input": "ridge", "stream": true}\'\n'
        f"\ncurl http://{address}/v1/pipelines/"
        f"{deployment.non_repeatable_pipeline}/runs \\\n"
        f"  -H 'Authorization: Bearer {deployment.account}-key' \\\n"
        f"  -H 'Idempotency-Key: {fleet.new_key()}' \\\n"
        '  -d \'{"input": "gate"}\'\n'
        f"\ncurl http://{address}/v1/status "
        f"-H 'Authorization: Bearer {fleet.OPERATOR_KEY}'",
        flush=True,
    )
    time.sleep(_HOLD_TIMEOUT_S)


def _expect(condition: bool, reason: str) -> None:
    if not condition:
        raise DemoError(reason)


if __name__ == "__main__":
    sys.exit(main())
