"""Finds prompt parts that crash engines, and blocks prompts with them.

A crash report names the prompts that an engine held without a first event when
it ended. Sound prompts are among them by chance, but they start elsewhere soon;
a part that crashes engines never starts. A part is blamed for the crashes since
it was last known to start. Parts that always occurred together can't be told
apart, so a block names all of them and refuses only prompts that have them all;
a start of one of them narrows the block to the others.

Does no I/O. Hosts exchange reports, starts and blocks and come to the same
blocks; merging an item twice, or in another order, gives the same result, apart
from small differences of time.
"""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from chervilarch.prompt_blocks import Prompt, PromptBlock, PromptBlocks

# Starts that are older don't speak for a part.
_HISTORY_S = 60.0
# Reports count only after this time, in which other hosts tell which of the
# parts they have seen start.
SETTLE_S = 0.2
_REPORT_TTL_S = 120.0
_MAX_REPORTS = 64
_MAX_PROMPTS = 32
_MAX_STARTS = 4096
# Parts of a prompt that are considered, from its start.
MAX_PARTS = 16


class _Thresholds(NamedTuple):
    """Crashes without a start after which something is done about a part.

    Attributes:
        if_unknown: for a part of which no recent start is known.
        if_known: for any other part.
    """

    if_unknown: int
    if_known: int

    def needed(self, is_known: bool) -> int:
        """Returns the number of crashes for a part."""
        return self.if_known if is_known else self.if_unknown


# Prompts with the part are refused. The users allow five crashes.
_BLOCKING = _Thresholds(3, 5)
# A prompt with the part isn't sent to a second engine.
_SUSPICIOUS = _Thresholds(2, 4)


class CrashReport(NamedTuple):
    """A run of an engine that ended with prompts waiting for a first event.

    Attributes:
        endpoint: id of the engine.
        incarnation: tells its runs apart.
        crashed_at: monotonic time in seconds.
        prompts: ids of the shared parts of each of these prompts.
    """

    endpoint: str
    incarnation: int
    crashed_at: float
    prompts: frozenset[Prompt]


class PartStart(NamedTuple):
    """A part whose prompt gave a first event.

    Attributes:
        part: id of the part.
        started_at: monotonic time in seconds.
    """

    part: str
    started_at: float


class Admission(NamedTuple):
    """Whether a prompt may be sent.

    Attributes:
        block: the block that refuses it, or None.
        tested: the block that it tests, or None.
    """

    block: PromptBlock | None = None
    tested: PromptBlock | None = None


Item = CrashReport | PartStart | PromptBlock


class CrashEvidence:
    """Crash reports, starts and blocks, as far as this host knows them."""

    def __init__(self) -> None:
        self._reports: dict[tuple[str, int], CrashReport] = {}
        self._starts: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._blocks = PromptBlocks()
        # When each report became known here; a crash may show late.
        self._learned_at: dict[tuple[str, int], float] = {}
        # Time of the newest crash that names each part.
        self._last_crashes: dict[str, float] = {}
        # Groups by thresholds, until reports, blocks or starts of blamed parts
        # change.
        self._cached_groups: dict[
            _Thresholds, dict[Prompt, list[CrashReport]]
        ] = {}

    def items(self, now: float, max_age_s: float = _REPORT_TTL_S) -> list[Item]:
        """Returns the blocks, and the reports of a limited age with starts."""
        reports = [
            report
            for report in self._reports.values()
            if now - report.crashed_at <= max_age_s
        ]
        named = {part for report in reports for part in _parts(report)}
        starts = [
            PartStart(part, self._starts[part])
            for part in sorted(named)
            if part in self._starts
        ]
        return [*self._blocks.all(), *starts, *reports]

    def merge(self, item: Item, now: float) -> bool:
        """Applies an item of another host; returns whether it was new."""
        if isinstance(item, CrashReport):
            return self.add_report(item, now)
        if isinstance(item, PartStart):
            return self._add_start(item.part, item.started_at)
        return self._merge_block(item)

    def add_report(self, report: CrashReport, now: float) -> bool:
        """Adds a report, or its prompts to one on the same run."""
        key = (report.endpoint, report.incarnation)
        known = self._reports.get(key)
        prompts = report.prompts
        if known is not None:
            prompts |= known.prompts
            report = report._replace(
                crashed_at=min(known.crashed_at, report.crashed_at)
            )
        if len(prompts) > _MAX_PROMPTS:
            prompts = frozenset(sorted(prompts, key=sorted)[:_MAX_PROMPTS])
        if known is not None and prompts == known.prompts:
            return False
        if now - report.crashed_at > _REPORT_TTL_S:
            return False
        self._reports[key] = report._replace(prompts=prompts)
        self._learned_at.setdefault(key, now)
        while len(self._reports) > _MAX_REPORTS:
            oldest = min(self._reports.values(), key=lambda r: r.crashed_at)
            self._drop_report((oldest.endpoint, oldest.incarnation))
        self._index_reports()
        return True

    def record_start(
        self, prompt: Iterable[str], now: float
    ) -> list[PartStart]:
        """Records a prompt's first event; returns starts that others need."""
        needed = []
        for part in prompt:
            is_needed = self._is_blamed(part)
            self._add_start(part, now)
            if is_needed:
                needed.append(PartStart(part, now))
        return needed

    def known_starts(self, report: CrashReport, now: float) -> list[PartStart]:
        """Returns the recent starts of a report's parts, for other hosts."""
        return [
            PartStart(part, self._starts[part])
            for part in sorted(_parts(report))
            if self._is_known(part, now)
        ]

    def admit(self, prompt: Prompt, now: float) -> Admission:
        """Decides on a new prompt; one that tests a block holds the others."""
        block = self.find_block(prompt, now)
        if block is not None:
            return Admission(block)
        return Admission(tested=self._blocks.begin_test(prompt, now))

    def find_block(self, prompt: Prompt, now: float) -> PromptBlock | None:
        """Returns the block that refuses a prompt at this time, if any.

        Until the reports that call for a block are settled, a provisional one
        of round 0 takes its place.
        """
        block = self._blocks.find(prompt, now)
        if block is not None or not self._reports:
            return block
        for group, reports in self._current_groups(_BLOCKING, now).items():
            if group <= prompt:
                since = _first_crash_at(reports)
                ends_at = max(self._settled_at(r) for r in reports)
                return PromptBlock(group, 0, True, since, ends_at, ends_at)
        return None

    def is_suspect(self, prompt: Prompt, now: float) -> bool:
        """Returns whether a prompt may be about to cause a further crash."""
        # A prompt that tests a block crosses it, but only once.
        groups = [block.parts for block in self._blocks.active()]
        if self._reports:
            groups += self._current_groups(_SUSPICIOUS, now)
        return any(group <= prompt for group in groups)

    def update_blocks(self, now: float) -> list[PromptBlock]:
        """Adds, renews, narrows and ends blocks; returns the changed ones."""
        self._expire(now)
        before = set(self._blocks.all())
        self._narrow_blocks()
        self._renew_blocks(now)
        while self._add_blocks(now):
            pass
        self._blocks.expire(now)
        return [block for block in self._blocks.all() if block not in before]

    def _expire(self, now: float) -> None:
        for key, report in list(self._reports.items()):
            if now - report.crashed_at > _REPORT_TTL_S:
                self._drop_report(key)
        self._index_reports()

    def _drop_report(self, key: tuple[str, int]) -> None:
        del self._reports[key]
        del self._learned_at[key]

    def _settled_at(self, report: CrashReport) -> float:
        """Returns from when on other hosts have told what they know."""
        key = (report.endpoint, report.incarnation)
        return self._learned_at[key] + SETTLE_S

    def _add_start(self, part: str, started_at: float) -> bool:
        if started_at <= self._starts.get(part, float("-inf")):
            return False
        if self._is_blamed(part):
            self._cached_groups.clear()
        self._starts[part] = started_at
        self._starts.move_to_end(part)
        if len(self._starts) > _MAX_STARTS:
            self._starts.popitem(last=False)
        return True

    def _is_known(self, part: str, now: float) -> bool:
        """Returns whether a part has started recently."""
        return now - self._starts.get(part, float("-inf")) < _HISTORY_S

    def _is_blamed(self, part: str) -> bool:
        """Returns whether a start of a part would tell other hosts anything."""
        started_at = self._starts.get(part, float("-inf"))
        return self._last_crashes.get(part, float("-inf")) > started_at or any(
            part in block.parts for block in self._blocks.active()
        )

    def _index_reports(self) -> None:
        self._cached_groups.clear()
        self._last_crashes = {}
        for report in self._reports.values():
            for part in _parts(report):
                known = self._last_crashes.get(part, float("-inf"))
                self._last_crashes[part] = max(known, report.crashed_at)

    def _merge_block(self, block: PromptBlock) -> bool:
        if not self._blocks.merge(block):
            return False
        if not block.is_active:
            self._acquit(block.parts)
        self._index_reports()
        return True

    def _acquit(self, parts: Prompt) -> None:
        """Removes the prompts of an ended block from the reports."""
        for key, report in list(self._reports.items()):
            prompts = frozenset(p for p in report.prompts if not parts <= p)
            self._reports[key] = report._replace(prompts=prompts)

    def blocks(self) -> list[PromptBlock]:
        """Returns all blocks, also those that ended."""
        return self._blocks.all()

    def active_blocks(self) -> list[PromptBlock]:
        """Returns the blocks in force, and those whose test is due."""
        return self._blocks.active()

    def _blamed_reports(self) -> dict[str, list[CrashReport]]:
        """Returns the reports that each part is blamed for.

        A crash with a blocked prompt counts only against that prompt's parts.
        """
        blamed: dict[str, list[CrashReport]] = collections.defaultdict(list)
        blocks = self._blocks.active()
        for report in self._reports.values():
            culprits = {
                part
                for block in blocks
                if _has_prompt(report, block.parts)
                for part in block.parts
            }
            for part in culprits or _parts(report):
                if self._starts.get(part, float("-inf")) < report.crashed_at:
                    blamed[part].append(report)
        return blamed

    def _add_blocks(self, now: float) -> bool:
        """Blocks the most blamed parts; returns whether there were any."""
        groups = self._blamed_groups(_BLOCKING, now, settled_only=True)
        if not groups:
            return False
        most = max(len(reports) for reports in groups.values())
        for group, reports in groups.items():
            if len(reports) == most:
                self._blocks.add(group, _first_crash_at(reports), now)
        return True

    def _current_groups(
        self, thresholds: _Thresholds, now: float
    ) -> dict[Prompt, list[CrashReport]]:
        if thresholds not in self._cached_groups:
            groups = self._blamed_groups(thresholds, now)
            self._cached_groups[thresholds] = groups
        return self._cached_groups[thresholds]

    def _blamed_groups(
        self, thresholds: _Thresholds, now: float, settled_only: bool = False
    ) -> dict[Prompt, list[CrashReport]]:
        """Returns groups of parts that are blamed often enough.

        Args:
            thresholds: how many crashes that takes.
            now: monotonic time in seconds.
            settled_only: whether only settled reports count.

        Returns:
            The reports that each group is blamed for. A group holds a blamed
            part and those that can't be told apart from it. Left out are groups
            that a block covers, and those that a larger group explains as well:
            it refuses fewer prompts.
        """
        groups: dict[Prompt, list[CrashReport]] = {}
        for part, reports in self._blamed_reports().items():
            counted = [
                report
                for report in reports
                if not settled_only or now >= self._settled_at(report)
            ]
            if len(counted) < thresholds.needed(self._is_known(part, now)):
                continue
            group = self._common_parts(part, counted)
            if not self._is_covered(group, counted):
                groups[group] = counted
        return {
            group: counted
            for group, counted in groups.items()
            if not any(
                group < other and len(reports) >= len(counted)
                for other, reports in groups.items()
            )
        }

    def _is_covered(self, group: Prompt, reports: list[CrashReport]) -> bool:
        """Returns whether a block refuses the prompts of all these reports."""
        return any(
            block.parts <= group
            or group < block.parts
            and all(_has_prompt(report, block.parts) for report in reports)
            for block in self._blocks.active()
        )

    def _common_parts(self, part: str, reports: list[CrashReport]) -> Prompt:
        """Returns the parts that can't be told apart from a blamed one."""
        first = _first_crash_at(reports)
        group = frozenset.intersection(
            *(
                prompt
                for report in reports
                for prompt in report.prompts
                if part in prompt
            )
        )
        return frozenset(
            other
            for other in group
            if self._starts.get(other, float("-inf")) < first
        ) | {part}

    def _narrow_blocks(self) -> None:
        """Leaves parts out of blocks that have started meanwhile."""
        for block in self._blocks.active():
            kept = frozenset(
                part
                for part in block.parts
                if self._starts.get(part, float("-inf")) <= block.since
            )
            if kept != block.parts:
                self._blocks.narrow(block, kept)

    def _renew_blocks(self, now: float) -> None:
        """Starts a new round of blocks whose prompts still crash engines."""
        for block in self._blocks.active():
            crashes = [
                report
                for report in self._reports.values()
                if report.crashed_at > block.ends_at
                and _has_prompt(report, block.parts)
            ]
            if crashes:
                self._blocks.add(block.parts, _first_crash_at(crashes), now)


def _first_crash_at(reports: list[CrashReport]) -> float:
    return min(report.crashed_at for report in reports)


def _has_prompt(report: CrashReport, parts: Prompt) -> bool:
    """Returns whether a report names a prompt with all of some parts."""
    return any(parts <= prompt for prompt in report.prompts)


def _parts(report: CrashReport) -> set[str]:
    return {part for prompt in report.prompts for part in prompt}
