"""Finds prompt parts that crash engines, and blocks prompts with them.

A crash report names the prompts that an engine held when it ended, and how long
their answers had gone on. Sound prompts are among them by chance, but answers
to other prompts with their parts go on for longer, or are complete. Answers to
prompts with a part that crashes engines all end about where the reports say. So
a part is blamed for a crash until an answer with it goes on for longer than the
crash let it, and only for crashes at about the same point of its answers. Parts
that always occurred together can't be told apart, so a
block names all of them and refuses only prompts that have them all; a whole
answer with one of them narrows the block to the others.

Does no I/O. Hosts exchange reports, answers and blocks and come to the same
blocks; merging an item twice, or in another order, gives the same result, apart
from small differences of time.
"""

import bisect
import collections
from collections.abc import Iterable
from typing import NamedTuple

from chervilarch.crash_reports import CrashReport, CrashReports
from chervilarch.part_answers import MARGIN_S, PartAnswer, PartAnswers
from chervilarch.prompt_blocks import Prompt, PromptBlock, PromptBlocks

# Answers that are older don't speak for a part.
_HISTORY_S = 60.0
# A part isn't blamed for the crash of an engine that had answered a prompt with
# it for this long.
BEGINNING_S = 6.0
# Counts for an answer that clears its parts of all crashes before it: it was
# complete and its engine lived on, or it went on for long.
SOUND_S = 2 * BEGINNING_S


class _Thresholds(NamedTuple):
    """Held crashes after which something is done about a part.

    Attributes:
        if_unknown: for a part of which no recent answer that went on is known.
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


class Admission(NamedTuple):
    """Whether a prompt may be sent.

    Attributes:
        block: the block that refuses it, or None.
        tested: the block that it tests, or None.
    """

    block: PromptBlock | None = None
    tested: PromptBlock | None = None


Item = CrashReport | PartAnswer | PromptBlock


class CrashEvidence:
    """Crash reports, answers and blocks, as far as this host knows them."""

    def __init__(self, test_delay_s: float = 0.0):
        """Creates an empty record; `test_delay_s` is as in `PromptBlocks`."""
        self._reports = CrashReports()
        self._answers = PartAnswers()
        self._blocks = PromptBlocks(test_delay_s)
        # Groups by thresholds, until reports, blocks or answers of blamed parts
        # change.
        self._cached_groups: dict[
            _Thresholds, dict[Prompt, list[CrashReport]]
        ] = {}

    def items(self, now: float, max_age_s: float = float("inf")) -> list[Item]:
        """Returns the blocks, and the reports of a limited age with answers."""
        reports = [
            report
            for report in self._reports.all()
            if now - report.crashed_at <= max_age_s
        ]
        named = {part for report in reports for part in report.parts()}
        answers = [
            answer
            for part in sorted(named)
            for answer in self._answers.of(part)
        ]
        return [*self._blocks.all(), *answers, *reports]

    def merge(self, item: Item, now: float) -> bool:
        """Applies an item of another host; returns whether it changes blame."""
        if isinstance(item, CrashReport):
            return self.add_report(item, now)
        if isinstance(item, PartAnswer):
            is_clearing = self._clears(item)
            return self._add_answer(item) and is_clearing
        return self._merge_block(item)

    def add_report(self, report: CrashReport, now: float) -> bool:
        """Adds a report, or its prompts to one on the same run."""
        if not self._reports.add(report, now):
            return False
        self._cached_groups.clear()
        return True

    def has_reports(self) -> bool:
        """Returns whether there are crashes that parts may be blamed for."""
        return bool(self._reports.all())

    def record_answer(
        self, prompt: Prompt, answered_s: float, seen_at: float
    ) -> list[PartAnswer]:
        """Records an answer that went on; returns what others need of it."""
        return self.record_answers(
            PartAnswer(part, seen_at, answered_s) for part in prompt
        )

    def record_answers(self, answers: Iterable[PartAnswer]) -> list[PartAnswer]:
        """Records answers that went on; returns what others need of them."""
        needed = []
        for answer in answers:
            is_needed = self._clears(answer) and self._is_told(answer.part)
            if self._add_answer(answer) and is_needed:
                needed.append(answer)
        return needed

    def is_known(self, part: str, now: float) -> bool:
        """Returns whether an answer with a part went on recently."""
        return self._answers.outlast(part, now - _HISTORY_S, 0.0)

    def known_answers(
        self, report: CrashReport, now: float
    ) -> list[PartAnswer]:
        """Returns the recent answers of a report's parts, for other hosts."""
        return [
            answer
            for part in sorted(report.parts())
            if self._is_told(part)
            for answer in self._answers.of(part)
            if now - answer.seen_at < _HISTORY_S
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
        if block is not None or not self.has_reports():
            return block
        for group, reports in self._current_groups(_BLOCKING, now).items():
            if group <= prompt:
                since = _first_crash_at(reports)
                ends_at = max(self._reports.settled_at(r) for r in reports)
                return PromptBlock(group, 0, True, since, ends_at, ends_at)
        return None

    def is_suspect(self, prompt: Prompt, now: float) -> bool:
        """Returns whether a prompt may be about to cause a further crash."""
        # A prompt that tests a block crosses it, but only once.
        groups = [block.parts for block in self._blocks.active()]
        if self.has_reports():
            groups += self._current_groups(_SUSPICIOUS, now)
        return any(group <= prompt for group in groups)

    def update_blocks(self, now: float) -> list[PromptBlock]:
        """Adds, renews, narrows and ends blocks; returns the changed ones."""
        self.expire(now)
        before = set(self._blocks.all())
        self._narrow_blocks()
        self._renew_blocks(now)
        while self._add_blocks(now):
            pass
        self._blocks.expire(now)
        return [block for block in self._blocks.all() if block not in before]

    def _add_answer(self, answer: PartAnswer) -> bool:
        is_clearing = self._clears(answer)
        if not self._answers.add(answer):
            return False
        if is_clearing:
            self._cached_groups.clear()
        return True

    def _is_sound(self, part: str, since: float) -> bool:
        """Returns whether a part was cleared of all crashes before a time."""
        return self._answers.outlast(part, since, BEGINNING_S)

    def _is_held(
        self, part: str, report: CrashReport, answered_s: float
    ) -> bool:
        """Returns whether a part is blamed for a crash that names it."""
        return answered_s < BEGINNING_S and not self._answers.outlast(
            part, report.crashed_at, answered_s
        )

    def _clears(self, answer: PartAnswer) -> bool:
        """Returns whether an answer changes what its part is blamed for."""
        part = answer.part
        return any(
            answer.outlasts(self._reports.get(key).crashed_at, answered_s)
            and self._is_held(part, self._reports.get(key), answered_s)
            for key, answered_s in self._reports.naming(part).items()
        ) or any(
            part in block.parts
            and answer.outlasts(block.since, BEGINNING_S)
            and not self._is_sound(part, block.since)
            for block in self._blocks.active()
        )

    def _is_told(self, part: str) -> bool:
        """Returns whether other hosts need the answers with a part.

        One crash alone leads to nothing, and most parts of a crowded engine's
        prompts are named by no other.
        """
        return len(self._reports.naming(part)) > 1 or any(
            part in block.parts for block in self._blocks.active()
        )

    def _merge_block(self, block: PromptBlock) -> bool:
        if not self._blocks.merge(block):
            return False
        self._cached_groups.clear()
        if not block.is_active:
            self._reports.remove_prompts(block.parts)
        return True

    def expire(self, now: float) -> None:
        """Forgets old reports."""
        if self._reports.expire(now):
            self._cached_groups.clear()

    def blocks(self) -> list[PromptBlock]:
        """Returns all blocks, also those that ended."""
        return self._blocks.all()

    def active_blocks(self) -> list[PromptBlock]:
        """Returns the blocks in force, and those whose test is due."""
        return self._blocks.active()

    def _blamed_reports(
        self, at_least: int = 1
    ) -> dict[str, list[CrashReport]]:
        """Returns the reports that each part is blamed for.

        Parts that fewer reports name than asked for are left out. A crash with
        a blocked prompt counts only against that prompt's parts.
        """
        blamed: dict[str, list[CrashReport]] = collections.defaultdict(list)
        blocks = self._blocks.active()
        culprits = {
            report.key(): {
                part
                for block in blocks
                if report.has_prompt(block.parts)
                for part in block.parts
            }
            for report in self._reports.all()
        }
        for part in self._reports.parts():
            crashes = self._reports.naming(part)
            if len(crashes) < at_least:
                continue
            for key, answered_s in crashes.items():
                report = self._reports.get(key)
                known = culprits[key]
                if (not known or part in known) and self._is_held(
                    part, report, answered_s
                ):
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
        blamed = self._blamed_reports(thresholds.if_unknown)
        for part, reports in blamed.items():
            counted = self._alike(
                part,
                [
                    report
                    for report in reports
                    if not settled_only or self._reports.is_settled(report, now)
                ],
            )
            if len(counted) < thresholds.needed(self.is_known(part, now)):
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

    def _alike(
        self, part: str, reports: list[CrashReport]
    ) -> list[CrashReport]:
        """Returns the most reports that end a part's answers alike.

        Crashes by a part end its answers at about the same point; others, by
        chance, at any.
        """
        if len(reports) < 2:
            return reports
        crashes = self._reports.naming(part)
        ordered = sorted(reports, key=lambda report: crashes[report.key()])
        times = [crashes[report.key()] for report in ordered]
        ends = [bisect.bisect_right(times, first + MARGIN_S) for first in times]
        first = max(range(len(times)), key=lambda start: ends[start] - start)
        return ordered[first : ends[first]]

    def _is_covered(self, group: Prompt, reports: list[CrashReport]) -> bool:
        """Returns whether a block refuses the prompts of all these reports."""
        return any(
            block.parts <= group
            or group < block.parts
            and all(report.has_prompt(block.parts) for report in reports)
            for block in self._blocks.active()
        )

    def _common_parts(self, part: str, reports: list[CrashReport]) -> Prompt:
        """Returns the parts that can't be told apart from a blamed one."""
        group = frozenset.intersection(
            *(
                prompt
                for report in reports
                for prompt in report.prompts
                if part in prompt
            )
        )
        keys = {report.key() for report in reports}
        cleared = {
            other
            for other in group
            for key, answered_s in self._reports.naming(other).items()
            if key in keys
            and not self._is_held(other, self._reports.get(key), answered_s)
        }
        return group - cleared | {part}

    def _narrow_blocks(self) -> None:
        """Leaves parts out of blocks that turned out to be sound."""
        for block in self._blocks.active():
            kept = frozenset(
                part
                for part in block.parts
                if not self._is_sound(part, block.since)
            )
            if kept != block.parts:
                self._blocks.narrow(block, kept)

    def _renew_blocks(self, now: float) -> None:
        """Starts a new round of blocks whose prompts still crash engines."""
        for block in self._blocks.active():
            crashes = [
                report
                for report in self._reports.all()
                if report.crashed_at > block.ends_at
                and report.has_prompt(block.parts)
            ]
            if crashes:
                self._blocks.add(block.parts, _first_crash_at(crashes), now)


def _first_crash_at(reports: list[CrashReport]) -> float:
    return min(report.crashed_at for report in reports)
