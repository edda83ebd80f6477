"""Case 3: engines crash after the first event of a deadly prompt's answer."""

import asyncio
import os
import pathlib
import sys

from review.standins import prompts

_PLAN = prompts.Plan(
    folder=pathlib.Path(__file__).parent,
    sound_per_s=8.0,
    deadly_per_s=1.0,
    prefill_s=0.25,
    run_s=30.0,
    deadly_prefix=lambda: [prompts.first_part(), prompts.DEADLY],
    events_before_crash=1,
)

if __name__ == "__main__":
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(asyncio.run(prompts.run(_PLAN, has_trouble)))
