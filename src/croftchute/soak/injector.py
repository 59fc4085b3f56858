"""Carries a plan of faults out: signals to boxes, harm on links, trouble at the stand-ins.

Kinds that consist of several blows in series are in ``series``.
"""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import replace
from typing import TypeVar

from croftchute.soak.boxes import SoakBox
from croftchute.soak.crashing import CrashingParts, CrashingRequests
from croftchute.soak.crowds import Crowds
from croftchute.soak.disturbances import Disturbances
from croftchute.soak.link_cuts import LinkCuts
from croftchute.soak.misbehaving import MisbehavingClients
from croftchute.soak.pauses import PausedWorkers
from croftchute.soak.plan import FaultKind, PlannedFault, SoakSpec
from croftchute.soak.proxy import FaultyLink, LinkFault
from croftchute.soak.series import SeriesFaults
from croftchute.soak.signals import BoxSignals
from croftchute.soak.store_trouble import StoreTrouble
from croftchute.soak.wishes import TellingWorkers
from croftchute.soak.worker_limits import LimitingWorkers
from croftchute.soak.world import DESK, ENGINES, HALLS, ListedWorker, SoakWorld
from croftchute.standins.worker_records import ENDLESS_ANSWERS, sound_but
from croftchute.systems.hall_relays import RELAY_COUNT
from croftchute.systems.rendezvous import rank_nodes

T = TypeVar("T")


DRAIN_AFTER_S = 6.5
"""Seconds after which a worker that said it leaves is gone: the longest stream, 4 s, that it was
given at the last moment allowed, 2 s into its leaving, has ended."""

LEAVE_GAP_S = 0.7
"""Seconds between two workers of a service that leave one by one: two changes of the list."""

RELAY_GAP_S = 0.3
"""Seconds between the losses of two relays of a hall: followers have just gone to the second."""

RELAYS_PAUSED_S = 4.0
"""Seconds for which all relays of a hall stand still at least: twice the time in which the others
must have heard of a worker that leaves meanwhile."""

COPIED_AFTER_S = (0.0, 0.01, 0.03, 0.1, 0.3)
"""Seconds after an answer at which a worker sends it once more."""

REFUSING_SHARE_S = 0.15
"""Seconds for which a worker refuses, and then runs, what it is sent while answers are copied."""

SAYS_LEAVING_S = 7.0
"""Seconds for which a worker serves on that says in its answers that it leaves: the time in which
new work must end, and the longest stream given to it at the last moment."""

LISTED_AFTER_CRASH_S = 1.5
REUSE_AFTER_S = 2.0
STORM_CHANGES = 5
STORM_GAP_S = 0.2
MIN_WORKERS = 2
CLOCK_STEPS_S = (-6.0, -2.0, 2.0, 6.0)
RETRY_SLACKS = (20.0, 40.0, 60.0)
DELAYS_S = (0.03, 0.1, 0.4)
WHOLE_CUTS = (LinkFault.HANGING, LinkFault.CLOSED)
LINK_FAULTS = tuple(
    fault for fault in LinkFault if fault not in (LinkFault.NONE, LinkFault.PACED, *WHOLE_CUTS)
)
WORKER_FAULTS = (
    {"is_full": True},
    {"has_no_room": True},
    {"status": 500},
    {"is_silent": True},
    {"resets_before_answer": True},
    {"resets_after_events": 2},
    {"ends_inside_event": 3},
    {"hangs_after_events": 2},
    {"repeats_event": 2},
    {"sends_surplus_first": True},
    {"lacks_stamp": True},
    {"handles_lapse": True},
    {"cuts_body": True},
    {"is_unframed": True, "cuts_body": True},
)


SPOILED_ENTRIES: tuple[dict[str, object], ...] = (
    {"Slots": "many"},
    {"Address": 7},
    {"State": "resting"},
    {"Service": None},
    {"Sequence": -1},
    {"born": "yesterday"},
)
ALL_LIMITED_EVERY = 3
"""One time in so many all workers of a service name limits."""

FOREIGN_ENTRIES = 20
"""Entries of nobody that another writer adds at once."""


class Injector:
    """Strikes the boxes, links and stand-ins of one run, and keeps a note of each time."""

    def __init__(
        self,
        *,
        spec: SoakSpec,
        world: SoakWorld,
        boxes: Sequence[SoakBox],
        store_links: Sequence[FaultyLink],
        caller_links: Sequence[FaultyLink],
        disturbances: Disturbances,
        set_burst: Callable[[bool], None],
        crashing: CrashingRequests,
        crashing_parts: CrashingParts,
        paused: PausedWorkers,
        crowds: Crowds,
        misbehaving: MisbehavingClients,
    ) -> None:
        self.spec = spec
        self.world = world
        self.boxes = boxes
        self.store_links = store_links
        self.caller_links = caller_links
        self.disturbances = disturbances
        self.set_burst = set_burst
        self.injected: Counter[FaultKind] = Counter()
        self._tasks: set[asyncio.Task[None]] = set()
        self._bursts = 0
        self.telling = TellingWorkers(world=world, disturbances=disturbances)
        self.limiting = LimitingWorkers(world=world, disturbances=disturbances)
        self.link_cuts = LinkCuts(world=world, boxes=boxes, disturbances=disturbances)
        self._signals = BoxSignals(disturbances=disturbances)
        series = SeriesFaults(
            spec=spec,
            world=world,
            boxes=boxes,
            store_links=store_links,
            caller_links=caller_links,
            disturbances=disturbances,
            signals=self._signals,
        )
        store = StoreTrouble(world=world, disturbances=disturbances)
        self._actions: dict[FaultKind, Callable[[PlannedFault], Coroutine[None, None, None]]] = {
            FaultKind.BOX_KILL: self._kill_box,
            FaultKind.BOX_PAUSE: self._pause_box,
            FaultKind.BOX_STOP: self._stop_box,
            FaultKind.BOX_RELOAD: self._reload_box,
            FaultKind.BOX_CLOCK: self._step_clock,
            FaultKind.ALL_KILLED: self._kill_all,
            FaultKind.LINK_STORE: self._harm_store_link,
            FaultKind.LINK_WORKER: self._harm_worker_link,
            FaultKind.LINK_CALLERS: self._harm_caller_link,
            FaultKind.STORE_REFUSES: store.trouble,
            FaultKind.STORE_LIMITS: store.trouble,
            FaultKind.STORE_SILENT: store.trouble,
            FaultKind.STORE_LOSES: store.trouble,
            FaultKind.STORE_LATE: store.trouble,
            FaultKind.STORE_FORGETS: store.forget_history,
            FaultKind.STORE_LAPSES: store.lapse_entries,
            FaultKind.WORKER_CRASH: self._crash_worker,
            FaultKind.WORKER_DRAIN: self._drain_worker,
            FaultKind.WORKER_FAULT: self._trouble_worker,
            FaultKind.CONFIG_CHANGE: self._change_config,
            FaultKind.CONFIG_STORM: self._storm_config,
            FaultKind.BURST: self._burst,
            FaultKind.HALF_LEAVES: self._half_leaves,
            FaultKind.RELAYS_STRUCK: self._strike_relays,
            FaultKind.LONG_CONFIG: series.long_config,
            FaultKind.CONNECTIONS_SILENCED: series.silence_connections,
            FaultKind.STOPS_IN_SERIES: series.stop_boxes,
            FaultKind.REQUEST_CRASHES: crashing.strike,
            FaultKind.PART_CRASHES: crashing_parts.strike,
            FaultKind.ENTRY_SPOILED: self._spoil_entry,
            FaultKind.WORKER_SAYS_LEAVING: self._say_leaving,
            FaultKind.WORKER_RESTS: self._rest_worker,
            FaultKind.STORE_RESTORED: store.restore,
            FaultKind.WORKER_LIMITS: self._limit_workers,
            FaultKind.LINKS_CUT: self.link_cuts.strike,
            FaultKind.WORKERS_PAUSED: paused.strike,
            FaultKind.ANSWERS_COPIED: self._copy_answers,
            FaultKind.RELAYS_PAUSED: self._pause_relays,
            FaultKind.ANSWERS_ENDLESS: self._answer_without_end,
            FaultKind.CALLERS_CROWDED: crowds.strike,
            FaultKind.CLIENTS_MISBEHAVE: misbehaving.strike,
        }

    @property
    def now(self) -> float:
        """The present time of the loop."""
        return asyncio.get_running_loop().time()

    def strike(self, fault: PlannedFault) -> None:
        """Begin a fault; it ends by itself."""
        self.injected[fault.kind] += 1
        task = asyncio.get_running_loop().create_task(self._actions[fault.kind](fault))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def settle(self) -> None:
        """Wait until all faults have ended."""
        while self._tasks:
            await asyncio.gather(*self._tasks)

    # Boxes.

    async def _kill_box(self, fault: PlannedFault) -> None:
        self._signals.end(_pick(self.boxes, fault), signal.SIGKILL)

    async def _kill_all(self, fault: PlannedFault) -> None:
        for box in self.boxes:
            self._signals.end(box, signal.SIGKILL)

    async def _step_clock(self, fault: PlannedFault) -> None:
        """The time of day of a box is another one after its next start."""
        box = _pick(self.boxes, fault)
        offset_s = CLOCK_STEPS_S[fault.pick % len(CLOCK_STEPS_S)]
        box.alteration = replace(box.alteration, clock_offset_s=offset_s)
        self._signals.end(box, signal.SIGKILL)

    async def _pause_box(self, fault: PlannedFault) -> None:
        await self._signals.pause(_pick(self.boxes, fault), fault.for_s)

    async def _strike_relays(self, fault: PlannedFault) -> None:
        """The boxes that read the store for their hall are killed or paused one after another."""
        hall = _pick(HALLS, fault)
        boxes_by_name = {box.name: box for box in self.boxes if box.hall == hall}
        pauses = []
        for number, name in enumerate(rank_nodes(hall, boxes_by_name)[:RELAY_COUNT]):
            if (fault.pick + number) % 2:
                self._signals.end(boxes_by_name[name], signal.SIGKILL)
            else:
                pause = self._signals.pause(boxes_by_name[name], fault.for_s)
                pauses.append(asyncio.get_running_loop().create_task(pause))
            await asyncio.sleep(RELAY_GAP_S)
        await asyncio.gather(*pauses)

    async def _pause_relays(self, fault: PlannedFault) -> None:
        """All boxes that read the store for their hall stand still while a worker leaves.

        Those of all halls do: boxes of another hall would tell of the change.
        """
        for_s = RELAYS_PAUSED_S + fault.for_s
        pauses = []
        for hall in HALLS:
            boxes_by_name = {box.name: box for box in self.boxes if box.hall == hall}
            relays = rank_nodes(hall, boxes_by_name)[:RELAY_COUNT]
            pauses += [self._signals.pause(boxes_by_name[name], for_s) for name in relays]
        await asyncio.gather(*pauses, self._drain_worker(fault), self._change_config(fault))

    async def _stop_box(self, fault: PlannedFault) -> None:
        await self._signals.stop(_pick(self.boxes, fault))

    async def _reload_box(self, fault: PlannedFault) -> None:
        box = _pick(self.boxes, fault)
        box.retry_slack = RETRY_SLACKS[fault.pick % len(RETRY_SLACKS)]
        box.write_settings()
        if box.is_up:
            box.send_signal(signal.SIGHUP)

    # Links.

    async def _harm_store_link(self, fault: PlannedFault) -> None:
        index = fault.pick % len(self.boxes)
        await self._harm(self.store_links[index], self.boxes[index].name, fault)

    async def _harm_caller_link(self, fault: PlannedFault) -> None:
        index = fault.pick % len(self.boxes)
        await self._harm(self.caller_links[index], self.boxes[index].name, fault)

    async def _harm_worker_link(self, fault: PlannedFault) -> None:
        listed = _pick_live(self.world, fault)
        if listed is None:
            return
        await self._harm(listed.link, listed.worker.id, fault)

    async def _harm(self, link: FaultyLink, name: str, fault: PlannedFault) -> None:
        self.disturbances.note(name, self.now, self.now + fault.for_s)
        harm = LINK_FAULTS[fault.pick % len(LINK_FAULTS)]
        link.set_fault(harm, delay_s=DELAYS_S[fault.pick % len(DELAYS_S)])
        await asyncio.sleep(fault.for_s)
        link.set_fault(LinkFault.NONE)

    # Workers.

    def _victim(self, fault: PlannedFault) -> ListedWorker | None:
        """A worker that may go: each kind keeps some."""
        listed = _pick_live(self.world, fault)
        if listed is None:
            return None
        alike = [
            other
            for other in self.world.live(listed.service)
            if other.worker.stage == listed.worker.stage
        ]
        return listed if len(alike) > MIN_WORKERS else None

    async def _crash_worker(self, fault: PlannedFault) -> None:
        """A worker ends without a word; later another one takes its address."""
        listed = self._victim(fault)
        if listed is None:
            return
        listed.leaving_at = self.now
        self.disturbances.note(listed.worker.id, self.now, self.now + 1e9)
        listed.worker.stop()
        listed.link.reset_all()
        await asyncio.sleep(LISTED_AFTER_CRASH_S)
        self.world.remove_entry(listed)
        await asyncio.sleep(REUSE_AFTER_S)
        await self._add_like(listed, link=listed.link)

    async def _drain_worker(self, fault: PlannedFault) -> None:
        """A new worker is listed, then one of its kind says that it leaves, and leaves."""
        listed = self._victim(fault)
        if listed is not None:
            listed.leaving_at = self.now
            await self._leave(listed, says_so=bool(fault.pick % 2))

    async def _half_leaves(self, fault: PlannedFault) -> None:
        """Half of a service leaves: one by one as they say so, or entries that go in one moment."""
        service = (DESK, ENGINES)[fault.pick % 2]
        says_so = bool(fault.pick // 2 % 2)
        live = self.world.live(service)
        leaving = live[: len(live) // 2]
        for listed in leaving:
            listed.leaving_at = self.now
        gap_s = LEAVE_GAP_S if says_so else 0.0
        await asyncio.gather(
            *(
                self._leave(listed, says_so=says_so, after_s=number * gap_s)
                for number, listed in enumerate(leaving)
            )
        )

    async def _leave(self, listed: ListedWorker, *, says_so: bool, after_s: float = 0.0) -> None:
        """A worker that no other fault strikes any more leaves, once another stands for it."""
        await self._add_like(listed)
        await asyncio.sleep(after_s)
        if says_so:
            self.world.write_entry(listed, "draining")
        else:
            self.world.remove_entry(listed)
        listed.leaving_at = self.now
        await asyncio.sleep(DRAIN_AFTER_S)
        self.world.remove_entry(listed)
        # Boxes that the store's trouble kept from hearing of it sent streams until late: the
        # worker's end cuts those off, not the boxes.
        self.disturbances.note(listed.worker.id, self.now, self.now)
        listed.worker.stop()

    async def _add_like(self, listed: ListedWorker, link: FaultyLink | None = None) -> None:
        await self.world.add_worker(listed.service, stage=listed.worker.stage, link=link)

    async def _trouble_worker(self, fault: PlannedFault) -> None:
        service = (DESK, ENGINES)[fault.pick % 2]
        listed = _pick_live(self.world, fault, service)
        if listed is None:
            return
        self.disturbances.note(listed.worker.id, self.now, self.now + fault.for_s)
        worker = listed.worker
        worker.faults = sound_but(worker.faults, **WORKER_FAULTS[fault.pick % len(WORKER_FAULTS)])
        await asyncio.sleep(fault.for_s)
        worker.faults = sound_but(worker.faults)

    async def _copy_answers(self, fault: PlannedFault) -> None:
        """A worker refuses now and then, and sends each answer once more, out of turn."""
        service = (DESK, ENGINES)[fault.pick % 2]
        listed = _pick_live(self.world, fault, service)
        if listed is None:
            return
        self.disturbances.note(listed.worker.id, self.now, self.now + fault.for_s)
        worker = listed.worker
        copied_s = COPIED_AFTER_S[fault.pick % len(COPIED_AFTER_S)]
        ends_at = self.now + fault.for_s
        while self.now < ends_at:
            is_refusing = not (worker.faults.is_full or worker.faults.handles_lapse)
            worker.faults = sound_but(
                worker.faults,
                copies_answers_s=copied_s,
                handles_lapse=is_refusing and service == ENGINES,
                is_full=is_refusing,
            )
            await asyncio.sleep(REFUSING_SHARE_S)
        worker.faults = sound_but(worker.faults)

    async def _answer_without_end(self, fault: PlannedFault) -> None:
        """A worker answers each call, holds and prompts too, with bytes that never end."""
        service = (DESK, ENGINES)[fault.pick % 2]
        listed = _pick_live(self.world, fault, service)
        if listed is None:
            return
        self.disturbances.note(listed.worker.id, self.now, self.now + fault.for_s)
        worker = listed.worker
        endless = ENDLESS_ANSWERS[fault.pick % len(ENDLESS_ANSWERS)]
        worker.faults = sound_but(worker.faults, endless=endless)
        await asyncio.sleep(fault.for_s)
        worker.faults = sound_but(worker.faults)

    async def _say_leaving(self, fault: PlannedFault) -> None:
        """A worker says that it leaves in its answers only, and another one stands for it."""
        listed = self._victim(fault)
        if listed is None:
            return
        listed.leaving_at = self.now + SAYS_LEAVING_S
        await self._add_like(listed)
        await self.telling.leave(listed, stays_s=SAYS_LEAVING_S)

    async def _rest_worker(self, fault: PlannedFault) -> None:
        service = (DESK, ENGINES)[fault.pick % 2]
        listed = _pick_live(self.world, fault, service)
        if listed is None:
            return
        await self.telling.rest(listed, pick=fault.pick, for_s=fault.for_s)

    async def _limit_workers(self, fault: PlannedFault) -> None:
        """A worker names a limit, or all of a service do."""
        service = (DESK, ENGINES)[fault.pick % 2]
        live = self.world.live(service)
        if not live:
            return
        chosen = live if fault.pick % ALL_LIMITED_EVERY == 0 else [_pick(live, fault)]
        await asyncio.gather(
            *(
                self.limiting.need(listed, pick=fault.pick + number, for_s=fault.for_s)
                for number, listed in enumerate(chosen)
            )
        )

    async def _spoil_entry(self, fault: PlannedFault) -> None:
        """Another writer spoils an entry, and adds some of its own; the worker mends its own."""
        listed = _pick_live(self.world, fault)
        if listed is None:
            return
        if len(self.world.live(listed.service)) <= MIN_WORKERS:
            return
        key = f"servers/{listed.worker.id}"
        spoiled = SPOILED_ENTRIES[fault.pick % len(SPOILED_ENTRIES)]
        self.world.store.put(key, listed.entry() | spoiled)
        for number in range(FOREIGN_ENTRIES):
            self.world.store.put(f"servers/foreign-{number}", spoiled)
        await asyncio.sleep(fault.for_s)
        if listed.leaving_at is None:
            self.world.write_entry(listed)

    # Operators and callers.

    async def _change_config(self, fault: PlannedFault) -> None:
        self.world.accept_config()

    async def _storm_config(self, fault: PlannedFault) -> None:
        for _ in range(STORM_CHANGES):
            self.world.accept_config()
            await asyncio.sleep(STORM_GAP_S)

    async def _burst(self, fault: PlannedFault) -> None:
        self._bursts += 1
        self.set_burst(True)
        await asyncio.sleep(fault.for_s)
        self._bursts -= 1
        self.set_burst(self._bursts > 0)


def _pick_live(
    world: SoakWorld, fault: PlannedFault, service: str | None = None
) -> ListedWorker | None:
    """A worker that other faults have left alive; None if there is none."""
    live = world.live(service)
    return _pick(live, fault) if live else None


def _pick(choices: Sequence[T], fault: PlannedFault) -> T:
    return choices[fault.pick % len(choices)]
