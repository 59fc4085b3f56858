"""A box with something altered in it, for the soak: a shifted clock, or a fault put in on purpose.

The faults show that the soak's checks find what they are for.
"""

from __future__ import annotations

import asyncio
import json
import os
import runpy
import sys
import time
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[3]
ALTERATION_VARIABLE = "CROFTCHUTE_SOAK_ALTERATION"

sys.path[:0] = [str(ROOT / "src"), str(ROOT / "platform")]

from croftchute.errors import Code, Ran  # noqa: E402
from croftchute.forwarding import store_follower  # noqa: E402
from croftchute.forwarding.request_run import RequestRun, WorkerCall  # noqa: E402
from croftchute.forwarding.state import ForwardingState  # noqa: E402
from croftchute.systems.worker_table import WorkerBelief, WorkerTable  # noqa: E402
from croftchute.tables.routing import Route, RoutingTable, Stage  # noqa: E402

OLDER_AFTER_S = 2.5
FAR_FUTURE_S = 1e9


def shift_clock(offset_s: float) -> None:
    """Let the box see a time of day that is off."""

    def started(self: ForwardingState) -> None:
        self.wall_clock = lambda: time.time() + offset_s

    ForwardingState.__post_init__ = started  # type: ignore[attr-defined]


def send_twice() -> None:
    """Send again what may have run, whatever its kind."""
    Route.may_repeat = property(lambda _: True)  # type: ignore[assignment,method-assign]
    RequestRun.may_send_again = lambda self: bool(self)  # type: ignore[method-assign]


def keep_draining() -> None:
    """Go on giving work to workers that are leaving."""

    def usable(
        self: WorkerTable, service: str, now: float, *, stage: Stage | None = None
    ) -> list[WorkerBelief]:
        known = [b for b in self.beliefs_by_id.values() if now - b.listed_at < FAR_FUTURE_S]
        return [
            belief
            for belief in known
            if belief.worker.service == service
            and (stage is None or belief.worker.stage in (None, stage))
        ]

    WorkerTable.usable = usable  # type: ignore[method-assign]


def lower_revision() -> None:
    """Go back to an older configuration some time after a newer one was put in force."""
    known: list[RoutingTable] = []

    adopt_soundly = store_follower.adopt_table

    def adopt(state: ForwardingState, table: RoutingTable, *, source: str, revision: int) -> bool:
        is_adopted = adopt_soundly(state, table, source=source, revision=revision)
        if is_adopted:
            known.append(table)
        if is_adopted and len(known) > 1:
            state.spawn(go_back(state, known[0]))
        return is_adopted

    async def go_back(state: ForwardingState, older: RoutingTable) -> None:
        await asyncio.sleep(OLDER_AFTER_S)
        state.table = older

    store_follower.adopt_table = adopt


def hold_memory() -> None:
    """Let workers go on with requests whose callers have left."""
    ended = WorkerCall.close

    def close(self: WorkerCall) -> None:
        if sys.exc_info()[0] is not None and self.connection is not None:
            KEPT.append(self.connection)
            self.connection = None
        ended(self)

    WorkerCall.close = close  # type: ignore[method-assign]


def say_not_run() -> None:
    """Promise that nothing ran, whatever is known."""
    refuse = RequestRun.refuse

    def promise(self: RequestRun, code: Code, ran: Ran, detail: str) -> None:
        refuse(self, Code.NO_CAPACITY, Ran.NOT_RUN, f"{code} {ran} {detail}")

    RequestRun.refuse = promise  # type: ignore[method-assign]


KEPT: list[object] = []
BROKEN: dict[str, Callable[[], None]] = {
    "send_twice": send_twice,
    "keep_draining": keep_draining,
    "lower_revision": lower_revision,
    "hold_memory": hold_memory,
    "say_not_run": say_not_run,
}


def main() -> None:
    """Alter what is asked for, then run the real program."""
    alteration = json.loads(os.environ[ALTERATION_VARIABLE])
    if alteration["clock_offset_s"]:
        shift_clock(alteration["clock_offset_s"])
    if alteration["broken"]:
        BROKEN[alteration["broken"]]()
    runpy.run_path(str(ROOT / "platform" / "start.py"), run_name="__main__")


if __name__ == "__main__":
    main()
