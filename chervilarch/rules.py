"""Look-up of pools, pipelines, accounts and rules in a configuration."""

import collections
import datetime
import zoneinfo
from typing import Any, NamedTuple

from chervilarch import keys

ANY_ACCOUNT = "*"
PROTOCOL_CALL = "call"
PROTOCOL_STREAM = "stream"
_MINUTES_PER_HOUR = 60


class Pool(NamedTuple):
    """A set of endpoints that do the same work.

    Attributes:
        name: pool name.
        protocol: "call" for one reply, "stream" for a stream of tokens.
        path: URL path that attempts are sent to.
        repeatable: whether the work may safely run more than once.
    """

    name: str
    protocol: str
    path: str
    repeatable: bool


class Account(NamedTuple):
    """A caller's account and its weight."""

    name: str
    weight: float


class Rule(NamedTuple):
    """Terms for an account and a pipeline: one row of the sheet.

    Attributes:
        pipeline: pipeline name.
        account: account name or "*".
        deadline_s: time allowed for a complete answer.
        priority: from 1 (first) to 9 (last).
        limit_per_s: requests a second of the account over the whole fleet.
        from_minute: minute of the day at which the rule comes into force.
        until_minute: minute of the day at which it ends. If it is below
            `from_minute`, the rule spans midnight; if equal, the whole day.
    """

    pipeline: str
    account: str
    deadline_s: float
    priority: int
    limit_per_s: float
    from_minute: int
    until_minute: int


class Pipeline(NamedTuple):
    """A named chain of stages; a stage is represented by its pool."""

    name: str
    stages: tuple[Pool, ...]

    def is_repeatable(self) -> bool:
        """Returns whether every stage may be repeated."""
        return all(stage.repeatable for stage in self.stages)


class Ruleset:
    """A configuration document, indexed for look-up."""

    def __init__(self, document: dict[str, Any]):
        self.zone = zoneinfo.ZoneInfo(document["time_zone"])
        self.pools = {
            name: Pool(name, item["protocol"], item["path"], item["repeatable"])
            for name, item in document["pools"].items()
        }
        self.pipelines = {
            name: Pipeline(
                name, tuple(self.pools[pool] for pool in item["stages"])
            )
            for name, item in document["pipelines"].items()
        }
        self._accounts_by_hash = {
            item["key_sha256"]: Account(name, item["weight"])
            for name, item in document["accounts"].items()
        }
        self._accounts = {
            account.name: account for account in self._accounts_by_hash.values()
        }
        self._rules: dict[tuple[str, str], list[Rule]] = (
            collections.defaultdict(list)
        )
        for item in document["schedule"].values():
            rule = _parse_rule(item)
            self._rules[rule.pipeline, rule.account].append(rule)

    def account_of_key(self, key: str) -> Account | None:
        """Returns the account that a caller's key belongs to."""
        return self._accounts_by_hash.get(keys.key_digest(key))

    def account(self, name: str) -> Account | None:
        """Returns an account by name."""
        return self._accounts.get(name)

    def rule_in_force(
        self, pipeline: str, account: str, wall_s: float
    ) -> Rule | None:
        """Returns the rule in force; the account's own row comes before "*"."""
        now = datetime.datetime.fromtimestamp(wall_s, self.zone)
        minute = now.hour * _MINUTES_PER_HOUR + now.minute
        for name in (account, ANY_ACCOUNT):
            for rule in self._rules.get((pipeline, name), ()):
                if covers(rule, minute):
                    return rule
        return None


def covers(rule: Rule, minute: int) -> bool:
    """Returns whether a rule is in force at a minute of the day."""
    if rule.from_minute < rule.until_minute:
        return rule.from_minute <= minute < rule.until_minute
    # The window passes midnight, or covers the whole day.
    return minute >= rule.from_minute or minute < rule.until_minute


def parse_time(text: str) -> int:
    """Returns the minute of the day of "HH:MM"; 24:00 is allowed.

    Raises:
        ValueError: the text is no time of day.
    """
    hour, _, minute = text.partition(":")
    if not (hour.isdigit() and minute.isdigit() and len(minute) == 2):
        raise ValueError(f"{text!r} is no time of day")
    total = int(hour) * _MINUTES_PER_HOUR + int(minute)
    if int(minute) >= _MINUTES_PER_HOUR or total > 24 * _MINUTES_PER_HOUR:
        raise ValueError(f"{text!r} is no time of day")
    return total


def _parse_rule(item: dict[str, Any]) -> Rule:
    return Rule(
        item["pipeline"],
        item["account"],
        item["deadline_s"],
        item["priority"],
        item["limit_per_s"],
        parse_time(item["from"]),
        parse_time(item["until"]),
    )
