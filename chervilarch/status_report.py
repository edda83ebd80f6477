"""Builds the status report of a router, a JSON document for operators."""

import resource
import time
from typing import Any, TypedDict

from chervilarch import __version__, controllers, settings


class MemberReport(TypedDict):
    """The state of one router in the membership list of this one."""

    name: str
    address: str
    caller_address: str
    data_centre: str
    status: str
    incarnation: int
    config_version: int


class UsageReport(TypedDict):
    """Resources that the process has used since it started."""

    cpu_s: float
    max_rss_kb: int
    gossip_bytes_sent: int


def build_report(
    ctrl: controllers.Controllers, cfg: settings.Settings
) -> dict[str, Any]:
    """Returns the report of this host, without the fields `server` adds."""
    state = ctrl.configuration.state
    return {
        "host": cfg.host,
        "data_centre": cfg.data_centre,
        "software_version": __version__,
        "time": ctrl.clock.wall(),
        "configuration": {
            "version": state.version,
            "through": state.through,
            "contact_age_s": round(ctrl.configuration.contact_age_s(), 2),
        },
        "members": [
            _build_member_report(member) for member in ctrl.gossip.members()
        ],
        "endpoints": ctrl.endpoints.describe(),
        "calls": {
            "current": ctrl.calls.is_current(),
            "unconfirmed": ctrl.calls.unconfirmed(),
        },
        "counters": ctrl.metrics.counts(),
        "histograms": ctrl.histograms.summaries(),
        "usage": UsageReport(
            cpu_s=round(time.process_time(), 3),
            max_rss_kb=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss,
            gossip_bytes_sent=ctrl.gossip.bytes_sent,
        ),
    }


def _build_member_report(member) -> MemberReport:
    return MemberReport(
        name=member.name,
        address=member.address,
        caller_address=member.caller_address,
        data_centre=member.data_centre,
        status=member.status.value,
        incarnation=member.incarnation,
        config_version=member.config_version,
    )
