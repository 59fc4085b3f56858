"""At-most-once execution under random schedules.

Messages are reordered, lost and duplicated, boxes restart, and live boxes are suspected.
"""

import random
from dataclasses import replace

import pytest

from croftchute.commands import DecideCall, SendPeer
from croftchute.peers.messages import Finish
from croftchute.systems.dedupe import Deduplicator
from croftchute.systems.dedupe_map import MAX_CLOCK_SKEW_S, initial_rows, repair_rows
from croftchute.tables.dedupe import EMPTY_MAP, BoxIncarnation, Decision, Phase, RangeMap
from croftchute.tables.rows import changed

BOXES = ("a", "b", "c", "d")
KEYS = 3
STEPS = 220


class RandomSchedule:
    """A store, four boxes and the messages in flight, stepped at random."""

    def __init__(self, seed, deduplicator_class=Deduplicator):
        self.rng = random.Random(seed)
        self.deduplicator_class = deduplicator_class
        self.now = 1000.0
        self.store = EMPTY_MAP
        self.in_flight = []
        self.runs_by_key = {}
        self.created_at_by_key = {}
        self.tokens = 0
        self.answers = 0
        self.boxes = {box: deduplicator_class(box=box, incarnation=1) for box in BOXES}
        members = [BoxIncarnation(box=box, incarnation=1) for box in BOXES]
        self.write(EMPTY_MAP.version, initial_rows({"hall": members}))
        for box in BOXES:
            self.apply_stored_map(box)
        for _ in range(400):
            self.deliver()

    def write(self, version, rows):
        if version == self.store.version and rows != self.store.rows:
            self.store = RangeMap(version=version + 1, rows=rows)

    def apply_stored_map(self, box):
        self.handle_commands(box, self.boxes[box].apply_map(self.store, self.now))

    def handle_commands(self, box, commands):
        for command in commands:
            if isinstance(command, SendPeer):
                self.in_flight.append((box, command.box, command.body))
            elif isinstance(command, DecideCall) and command.decision == Decision.RUN:
                self.run(box, command.token)

    def run(self, box, token):
        key = self.key_by_token[token]
        self.runs_by_key[key] = self.runs_by_key.get(key, 0) + 1
        phase = self.rng.choice((Phase.DONE, Phase.UNKNOWN))
        body = Finish(key=key, token=token, epoch=0, phase=phase, answer=b"x", status=200)
        self.handle_commands(box, self.boxes[box].finish_call(body, self.now))

    key_by_token: dict = {}

    def begin_random_call(self, box):
        if len(self.created_at_by_key) < KEYS or self.rng.random() < 0.05:
            self.created_at_by_key[f"key-{len(self.created_at_by_key)}"] = self.now
        key = self.rng.choice(list(self.created_at_by_key))
        self.tokens += 1
        token = f"t{self.tokens}"
        self.key_by_token = {**self.key_by_token, token: key}
        self.handle_commands(
            box, self.boxes[box].begin_call(key, token, self.created_at_by_key[key], self.now)
        )

    def deliver(self):
        if not self.in_flight:
            return
        index = self.rng.randrange(len(self.in_flight))
        sender, receiver, body = self.in_flight[index]
        if self.rng.random() > 0.1:
            del self.in_flight[index]
        if self.rng.random() > 0.05:
            self.handle_commands(receiver, self.boxes[receiver].receive(sender, body, self.now))

    def tick(self, box):
        self.now += self.rng.choice((0.0, 0.11, 0.6))
        self.handle_commands(box, self.boxes[box].tick(self.now))

    def restart(self, box):
        incarnation = self.boxes[box].own.incarnation + 1
        self.boxes[box] = self.deduplicator_class(box=box, incarnation=incarnation)

    def learn_of_restart(self, box):
        other = self.rng.choice(BOXES)
        self.boxes[box].box_restarted(other, self.boxes[other].own.incarnation)

    def repair(self, box):
        dedupe = self.boxes[box]
        suspected = {name for name in BOXES if self.rng.random() < 0.4}
        rows = repair_rows(
            dedupe.map,
            own=dedupe.own,
            holds_records=dedupe.holds_records,
            is_live=lambda member: member.box not in suspected,
            has_ended=dedupe.has_ended,
            replacements=[self.boxes[name].own for name in BOXES if name not in suspected],
            now=self.now,
        )
        self.write(dedupe.map.version, rows)

    def step(self):
        box = self.rng.choice(BOXES)
        action = self.rng.choices(
            (
                self.begin_random_call,
                self.tick,
                self.apply_stored_map,
                self.repair,
                self.learn_of_restart,
                self.restart,
            ),
            (6, 8, 3, 0.6, 2, 0.25),
        )[0]
        action(box)
        for _ in range(self.rng.randrange(14)):
            self.deliver()


def max_runs_and_total(seed, deduplicator_class=Deduplicator):
    schedule = RandomSchedule(seed, deduplicator_class)
    for _ in range(STEPS):
        schedule.step()
    return max(schedule.runs_by_key.values(), default=0), sum(schedule.runs_by_key.values())


def test_no_key_runs_twice_under_random_schedules():
    results = [max_runs_and_total(seed) for seed in range(120)]
    assert max(most for most, _ in results) == 1
    assert sum(total for _, total in results) > 100


class GrantsWithoutSecond(Deduplicator):
    """Faulty: allows a call before the second box has stored its record."""

    def _begin_received(self, sender, body, now):
        self._sender_by_message[body.token, Phase.GRANTED] = sender
        token_and_key = body.token, body.key
        if body.key in self.records_by_key:
            return super()._begin_received(sender, body, now)
        commands = super()._begin_received(sender, body, now)
        if not commands:
            return commands

        class AcceptedMirror:
            token, key = token_and_key
            epoch = body.epoch
            phase = Phase.GRANTED

        return commands + self._allow_call(sender, AcceptedMirror, now)


class IgnoresFloor(Deduplicator):
    """Faulty: allows keys that were created before a range lost both its boxes."""

    def begin_call(self, key, token, key_created_at, now):
        return super().begin_call(key, token, None, now)


class AcceptsAnyEpoch(Deduplicator):
    """Faulty: the second box accepts any epoch."""

    def _mirror_received(self, sender, body, now):
        row = self._rows_by_index.get(0)
        own = [r for r in self.map.rows if self.own in (r.first, r.second)]
        epoch = max((r.epoch for r in own), default=row.epoch if row else 0)
        commands = super()._mirror_received(sender, body, now)
        return [changed(c, body=replace(c.body, accepted=True)) if epoch else c for c in commands]


@pytest.mark.parametrize("deduplicator_class", [GrantsWithoutSecond, IgnoresFloor, AcceptsAnyEpoch])
def test_a_faulty_variant_runs_a_key_twice(deduplicator_class):
    assert any(max_runs_and_total(seed, deduplicator_class)[0] > 1 for seed in range(400))


def test_a_key_created_in_the_future_is_refused():
    schedule = RandomSchedule(1)
    (decided,) = schedule.boxes["a"].begin_call(
        "k", "t", schedule.now + MAX_CLOCK_SKEW_S + 1, schedule.now
    )
    assert (decided.decision, decided.code) == (Decision.REFUSE, "key_invalid")


def test_a_call_is_refused_soon_if_the_second_box_does_not_answer():
    schedule = RandomSchedule(2)
    schedule.in_flight.clear()
    schedule.boxes["a"].begin_call("key-x", "t9", schedule.now, schedule.now)
    schedule.now += 1.2
    decided = [c for c in schedule.boxes["a"].tick(schedule.now) if isinstance(c, DecideCall)]
    assert [c.code for c in decided] == ["dedupe_unavailable"]
