"""Which prompts engines held when they crashed, in bounded memory.

Does no I/O; merging a report twice, in another order or in pieces gives the
same result, apart from small differences of time.
"""

import zlib
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from chervilarch.prompt_blocks import Prompt

# Reports count only after this time, in which other hosts tell which of the
# parts they have seen in answers that went on.
SETTLE_S = 0.2
REPORT_TTL_S = 120.0
# Hosts measure the same answer a little differently.
_TIME_SLACK_S = 0.5
_MAX_REPORTS = 64
# Bounds on the parts of all prompts of a report, and of all reports.
_MAX_REPORT_PARTS = 20_000
_MAX_PARTS_OF_REPORTS = 160_000

# Endpoint and incarnation of a run.
Key = tuple[str, int]


class CrashReport(NamedTuple):
    """A run of an engine that ended with prompts.

    Attributes:
        endpoint: id of the engine.
        incarnation: tells its runs apart.
        crashed_at: monotonic time in seconds.
        prompts: ids of the shared parts of each of these prompts, with the
            seconds between the first and the last event of its answer, 0 before
            the first.
    """

    endpoint: str
    incarnation: int
    crashed_at: float
    prompts: Mapping[Prompt, float]

    def key(self) -> Key:
        """Returns what identifies the run."""
        return self.endpoint, self.incarnation

    def parts(self) -> set[str]:
        """Returns the parts of all prompts."""
        return {part for prompt in self.prompts for part in prompt}

    def has_prompt(self, parts: Prompt) -> bool:
        """Returns whether it names a prompt with all of some parts."""
        return any(parts <= prompt for prompt in self.prompts)

    def size(self) -> int:
        """Returns the number of parts of all prompts."""
        return sum(len(prompt) for prompt in self.prompts)

    def sample(self, max_size: int) -> "CrashReport":
        """Returns a report with as many prompts as a size allows.

        The choice is the same on all hosts, and another one for each crash, so
        that no part is left out of all reports.
        """
        if self.size() <= max_size:
            return self
        salt = f"{self.endpoint} {self.incarnation} "

        def rank(prompt: Prompt) -> int:
            return zlib.crc32((salt + " ".join(sorted(prompt))).encode())

        kept = {}
        size = 0
        for prompt in sorted(self.prompts, key=rank):
            size += len(prompt)
            if size > max_size:
                break
            kept[prompt] = self.prompts[prompt]
        return self._replace(prompts=kept)


class CrashReports:
    """The reports that this host knows, by run and by part."""

    def __init__(self) -> None:
        self._reports: dict[Key, CrashReport] = {}
        # When each report became known here; a crash may show late.
        self._learned_at: dict[Key, float] = {}
        # The longest answer with each part, by the reports that name it.
        self._by_part: dict[str, dict[Key, float]] = {}

    def all(self) -> list[CrashReport]:
        """Returns all reports."""
        return list(self._reports.values())

    def get(self, key: Key) -> CrashReport:
        """Returns the report on a run."""
        return self._reports[key]

    def parts(self) -> Iterable[str]:
        """Returns the parts that reports name."""
        return self._by_part.keys()

    def naming(self, part: str) -> Mapping[Key, float]:
        """Returns the runs of the reports that name a part.

        Each comes with the seconds of the run's longest answer with the part.
        """
        return self._by_part.get(part, {})

    def is_settled(self, report: CrashReport, now: float) -> bool:
        """Returns whether other hosts have told what they know of a report."""
        return now >= self.settled_at(report)

    def settled_at(self, report: CrashReport) -> float:
        """Returns from when on a report is settled."""
        return self._learned_at[report.key()] + SETTLE_S

    def add(self, report: CrashReport, now: float) -> bool:
        """Adds a report, or its prompts to one on the same run.

        Returns:
            Whether it tells anything new.
        """
        key = report.key()
        known = self._reports.get(key)
        news = dict(report.prompts)
        prompts = news
        if known is not None:
            news = _longer_answers(news, known.prompts)
            if not news:
                return False
            prompts = {**known.prompts, **news}
            report = report._replace(
                crashed_at=min(known.crashed_at, report.crashed_at)
            )
        report = report._replace(prompts=prompts).sample(_MAX_REPORT_PARTS)
        if known is not None and report.prompts == known.prompts:
            return False
        if now - report.crashed_at > REPORT_TTL_S:
            return False
        if len(report.prompts) < len(prompts):
            news = report.prompts
            if known is not None:
                self._unindex(known)
        self._reports[key] = report
        self._learned_at.setdefault(key, now)
        self._index(key, news)
        self._drop_oldest()
        return True

    def expire(self, now: float) -> bool:
        """Forgets old reports; returns whether there were any."""
        old = [
            key
            for key, report in self._reports.items()
            if now - report.crashed_at > REPORT_TTL_S
        ]
        for key in old:
            self._drop(key)
        return bool(old)

    def remove_prompts(self, parts: Prompt) -> None:
        """Removes the prompts with all of some parts from all reports."""
        for key, report in self._reports.items():
            prompts = {
                prompt: answered_s
                for prompt, answered_s in report.prompts.items()
                if not parts <= prompt
            }
            self._reports[key] = report._replace(prompts=prompts)
        self._by_part = {}
        for key, report in self._reports.items():
            self._index(key, report.prompts)

    def _drop_oldest(self) -> None:
        size = sum(report.size() for report in self._reports.values())
        while len(self._reports) > _MAX_REPORTS or size > _MAX_PARTS_OF_REPORTS:
            oldest = min(self._reports.values(), key=lambda r: r.crashed_at)
            size -= oldest.size()
            self._drop(oldest.key())

    def _drop(self, key: Key) -> None:
        self._unindex(self._reports.pop(key))
        del self._learned_at[key]

    def _index(self, key: Key, prompts: Mapping[Prompt, float]) -> None:
        for prompt, answered_s in prompts.items():
            for part in prompt:
                crashes = self._by_part.setdefault(part, {})
                crashes[key] = max(crashes.get(key, 0.0), answered_s)

    def _unindex(self, report: CrashReport) -> None:
        for part in report.parts():
            crashes = self._by_part.get(part, {})
            crashes.pop(report.key(), None)
            if not crashes:
                self._by_part.pop(part, None)


def _longer_answers(
    prompts: Mapping[Prompt, float], known: Mapping[Prompt, float]
) -> dict[Prompt, float]:
    """Returns the prompts that are new, or whose answer was longer."""
    return {
        prompt: answered_s
        for prompt, answered_s in prompts.items()
        if prompt not in known or answered_s > known[prompt] + _TIME_SLACK_S
    }
