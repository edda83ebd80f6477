"""Refuses prompts with parts that crash engines."""

import random

from chervilarch import (
    advisories,
    attempts,
    block_records,
    crash_evidence,
    crash_reports,
    endpoint_list,
    endpoint_state,
    part_answers,
    placement,
    prompt_attempts,
    reachability,
    state_log,
    store,
    tasks,
    telemetry,
)
from chervilarch import loop as loops
from chervilarch.futures import Future
from chervilarch.prompt_blocks import Prompt, PromptBlock

_CHECK_TIMEOUT_S = 0.5
_MAX_TOLD_PARTS = 1024
# Hosts that know answers with a reported crash's parts tell them at a random
# time up to this; those whose turn comes later have heard them by then.
_MAX_TELL_DELAY_S = crash_reports.SETTLE_S / 2
# Answers of a part that were told less than this ago aren't told again.
_TELL_PERIOD_S = 5.0
# While there are crash reports, a host looks at its running answers at random
# intervals, so that few hosts tell of the same part.
_LOOK_PERIODS_S = (0.15, 0.35)
# Hosts test a block at random times up to this after its end. News of a test
# takes milliseconds.
_MAX_TEST_DELAY_S = 5.0
# Causes of failures with which a crash may show.
_CRASH_CAUSES = (attempts.FailureCause.LOST, attempts.FailureCause.LATE)


class PromptGuard:
    """Reports crashes of engines and applies the blocks that follow.

    An attempt that breaks off, or whose answer was complete only just before,
    is held against its prompt only if the engine's run has ended: it refuses
    connections right after, or its entry disappears from the list soon.
    """

    def __init__(
        self,
        loop: loops.Loop,
        exchange: advisories.AdvisoryExchange,
        meters: telemetry.Telemetry,
        rng: random.Random,
        source: store.Store,
    ):
        """Creates the guard and adds it to the exchange.

        Args:
            loop: the event loop.
            exchange: connects the guards of all hosts.
            meters: counts blocks.
            rng: spreads the answers of several hosts over time.
            source: the platform's store, which keeps blocks for hosts that
                start.
        """
        self._loop = loop
        self._rng = rng
        self._exchange = exchange
        self._meters = meters
        self._evidence = crash_evidence.CrashEvidence(
            rng.uniform(0.0, _MAX_TEST_DELAY_S)
        )
        self._attempts = prompt_attempts.PromptAttempts()
        self._is_looking = False
        # Reports whose parts' answers other hosts weren't told yet.
        self._untold: list[crash_reports.CrashReport] = []
        # Whether each update of the blocks that is due has a reason here.
        self._due_updates: list[bool] = []
        self._checks: dict[endpoint_state.EndpointRun, Future] = {}
        self._logged: dict[tuple[Prompt, int], PromptBlock] = {}
        # When an answer of each part was last sent to other hosts, or by one.
        self._told_at: dict[str, float] = {}
        self._records = block_records.BlockRecords(
            loop, source, loop.clock, self.merge, self._evidence.blocks, rng
        )
        exchange.add_source(self)

    def start(self) -> None:
        """Reads the blocks that the store keeps."""
        self._records.start()

    def admit(self, prompt: Prompt) -> crash_evidence.Admission:
        """Decides on a new request; it may become the test of a block."""
        if not prompt:
            return crash_evidence.Admission()
        admission = self._evidence.admit(prompt, self._loop.now())
        if admission.tested is not None:
            state_log.log_change(
                "prompt block tested", **self._describe(admission.tested)
            )
            self._exchange.publish([admission.tested])
        return admission

    def find_block(
        self, prompt: Prompt, tested: PromptBlock | None
    ) -> PromptBlock | None:
        """Returns the block of a prompt, other than the one that it tests."""
        block = self._evidence.find_block(prompt, self._loop.now())
        if block is None or tested is None:
            return block
        is_own = (block.parts, block.round) == (tested.parts, tested.round)
        return None if is_own else block

    def is_suspect(self, prompt: Prompt) -> bool:
        """Returns whether a prompt may be about to cause a further crash."""
        return self._evidence.is_suspect(prompt, self._loop.now())

    def record_send(self, lease: placement.Lease, prompt: Prompt) -> None:
        """Records that an engine got a prompt."""
        if prompt:
            self._attempts.begin(lease, prompt)
            self._settle_completed()

    def record_answer(
        self, lease: placement.Lease, ends_at_close: bool = False
    ) -> None:
        """Records an answer that looks complete; its attempt ends.

        Args:
            lease: lease of the attempt.
            ends_at_close: whether a crash may have ended the answer.
        """
        now = self._loop.now()
        ended = self._attempts.end(lease, now)
        if ended is None:
            return
        self._attempts.add_completed(ended)
        if ends_at_close and not all(
            self._evidence.is_known(part, now) for part in ended.prompt
        ):
            self._check(lease.slot.endpoint, lease.listing.entry.address)

    def record_end(
        self, lease: placement.Lease, cause: attempts.FailureCause | None
    ) -> bool:
        """Records the end of an attempt, with the cause of a failure.

        Returns:
            Whether the attempt counts if its engine turns out to have crashed.
        """
        run = lease.slot.endpoint
        now = self._loop.now()
        ended = self._attempts.end(lease, now)
        may_have_crashed = bool(self._attempts.ended(run, now))
        if cause is attempts.FailureCause.NOT_SENT and may_have_crashed:
            self._check(run, lease.listing.entry.address)
        if ended is None:
            return False
        if ended.answered_s:
            self._record_sound(
                ended.prompt, ended.answered_s, lease.slot.last_event_at
            )
        if cause not in _CRASH_CAUSES:
            return False
        self._attempts.add_lost(ended)
        if cause is attempts.FailureCause.LOST:
            self._check(run, lease.listing.entry.address)
        return True

    def crash_check(self, lease: placement.Lease) -> "Future[None]":
        """Resolves once it is known whether an engine refuses connections."""
        return self._checks.get(lease.slot.endpoint) or tasks.done(None)

    def set_endpoints(
        self, listed: dict[str, dict[str, endpoint_list.Listing]]
    ) -> None:
        """Reports the runs that ended soon after they had lost prompts."""
        runs = endpoint_list.runs(listed)
        now = self._loop.now()
        for run in self._attempts.lost_runs(now) - set(runs):
            self._report(
                run, "left the list", self._attempts.concerned(run, now)
            )

    def items(self, now: float, max_age_s: float) -> list[crash_evidence.Item]:
        """Returns what other hosts should know."""
        return self._evidence.items(now, max_age_s)

    def merge(self, items: list[crash_evidence.Item]) -> None:
        """Applies what other hosts learned, or the store has kept."""
        now = self._loop.now()
        reports = []
        may_end_blocks = False
        for item in items:
            if not isinstance(item, crash_evidence.Item):
                continue
            if isinstance(item, part_answers.PartAnswer):
                self._mark_told(item.part)
            if self._evidence.merge(item, now):
                if isinstance(item, crash_reports.CrashReport):
                    reports.append(item)
                else:
                    may_end_blocks = True
        for report in reports:
            run = endpoint_state.EndpointRun(
                report.endpoint, report.incarnation
            )
            self._report(
                run, "reported by another host", self._attempts.ended(run, now)
            )
        self._tell_answers_later(reports)
        if may_end_blocks:
            self._update_blocks(is_own=False)
        if reports:
            self._update_later(is_own=False)
            self._look_later()

    def _tell_answers_later(
        self, reports: list[crash_reports.CrashReport]
    ) -> None:
        """Tells the known answers of some reports' parts, after a moment.

        The reports of a crowded engine come in many datagrams.
        """
        if reports and not self._untold:
            self._loop.call_later(
                self._rng.uniform(0.0, _MAX_TELL_DELAY_S), self._tell_answers
            )
        self._untold += reports

    def _tell_answers(self) -> None:
        self._record_running()
        reports, self._untold = self._untold, []
        now = self._loop.now()
        known = {
            answer
            for report in reports
            for answer in self._evidence.known_answers(report, now)
        }
        self._publish_answers(
            [
                answer
                for answer in sorted(known)
                if now - self._told_at.get(answer.part, float("-inf"))
                > _TELL_PERIOD_S
            ]
        )

    def _publish_answers(self, answers: list[part_answers.PartAnswer]) -> None:
        for answer in answers:
            self._mark_told(answer.part)
        self._exchange.publish(answers)

    def _mark_told(self, part: str) -> None:
        self._told_at.pop(part, None)
        self._told_at[part] = self._loop.now()
        if len(self._told_at) > _MAX_TOLD_PARTS:
            del self._told_at[next(iter(self._told_at))]

    def _record_sound(
        self, prompt: Prompt, answered_s: float, seen_at: float
    ) -> None:
        """Records an answer that went on, and tells others what they need."""
        self._tell_needed(
            self._evidence.record_answer(prompt, answered_s, seen_at)
        )

    def _tell_needed(self, answers: list[part_answers.PartAnswer]) -> None:
        self._publish_answers(answers)
        if answers:
            self._update_blocks(is_own=True)

    def _settle_completed(self) -> None:
        """Counts complete answers as sound if their engines live on."""
        for ended in self._attempts.pop_settled(self._loop.now()):
            self._record_sound(
                ended.prompt,
                crash_evidence.SOUND_S,
                ended.ended_at + part_answers.MARGIN_S,
            )

    def _record_running(self) -> None:
        """Records how far the running answers have gone on."""
        self._settle_completed()
        self._tell_needed(
            self._evidence.record_answers(self._attempts.longest_answers())
        )

    def _look_later(self) -> None:
        """Looks at the running answers as long as there are crash reports."""

        def look() -> None:
            self._is_looking = False
            self._record_running()
            self._evidence.expire(self._loop.now())
            if self._evidence.has_reports():
                self._look_later()

        if not self._is_looking:
            self._is_looking = True
            self._loop.call_later(self._rng.uniform(*_LOOK_PERIODS_S), look)

    def _check(self, run: endpoint_state.EndpointRun, address: str) -> None:
        """Reports a crash if an engine refuses connections."""
        if run in self._checks:
            return
        checked: Future = Future()
        self._checks[run] = checked

        def finish(fut: Future) -> None:
            del self._checks[run]
            if fut.result() is reachability.Reachability.REFUSES:
                now = self._loop.now()
                self._report(
                    run,
                    "refuses connections",
                    self._attempts.concerned(run, now),
                )
            tasks.resolve(checked, None)

        reachability.check(
            self._loop, address, _CHECK_TIMEOUT_S
        ).add_done_callback(finish)

    def _report(
        self,
        run: endpoint_state.EndpointRun,
        reason: str,
        concerned: list[prompt_attempts.EndedAttempt],
    ) -> None:
        """Reports the end of a run unless it concerns no attempt."""
        now = self._loop.now()
        crashed_at = min((ended.ended_at for ended in concerned), default=now)
        prompts: dict[Prompt, float] = {}
        for ended in concerned:
            prompts[ended.prompt] = max(
                prompts.get(ended.prompt, 0.0), ended.answered_s
            )
        self._attempts.forget_ended(run)
        report = crash_reports.CrashReport(
            run.key, run.incarnation, crashed_at, prompts
        )
        if not prompts or not self._evidence.add_report(report, now):
            return
        state_log.log_fault(
            "engine crashed",
            endpoint=run.key,
            reason=reason,
            prompts=[sorted(prompt) for prompt in prompts],
            answered_ms=[round(s * 1000) for s in prompts.values()],
        )
        self._exchange.publish([report])
        self._record_running()
        self._publish_answers(self._evidence.known_answers(report, now))
        self._update_later(is_own=True)
        self._look_later()

    def _update_later(self, is_own: bool) -> None:
        """Updates the blocks once other hosts have told what they know.

        Args:
            is_own: as for `_update_blocks`.
        """
        self._due_updates.append(is_own)
        if len(self._due_updates) > 1:
            return

        def update() -> None:
            # Those that were asked for meanwhile aren't settled yet.
            due, self._due_updates = self._due_updates, []
            self._update_blocks(any(due))
            if len(due) > 1:
                self._update_later(any(due[1:]))

        self._loop.call_later(crash_reports.SETTLE_S + 0.01, update)

    def _update_blocks(self, is_own: bool) -> None:
        """Updates the blocks, and logs what changed.

        Args:
            is_own: whether an event on this host is the reason. Otherwise other
                hosts come to the same blocks and needn't be told.
        """
        changed = self._evidence.update_blocks(self._loop.now())
        if is_own:
            self._exchange.publish(changed)
            self._records.write(changed)
        self._log_blocks()

    def _log_blocks(self) -> None:
        """Logs the blocks that began or ended since the last call."""
        blocks = self._evidence.active_blocks()
        active = {(block.parts, block.round): block for block in blocks}
        for key, block in active.items():
            if key not in self._logged:
                self._meters.count_prompt_block()
                state_log.log_fault("prompt blocked", **self._describe(block))
        for key, block in self._logged.items():
            if key not in active:
                state_log.log_change(
                    "prompt block ended", **self._describe(block)
                )
        self._logged = active

    def _describe(self, block: PromptBlock) -> dict:
        return {
            "prompt_parts": sorted(block.parts),
            "round": block.round,
            "ends_in_s": round(block.ends_at - self._loop.now(), 1),
        }
