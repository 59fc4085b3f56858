"""At most once, walked at random: any order, loss, doubling, restarts, wrong suspicion."""

import random
from dataclasses import replace

import pytest

from croftchute.commands import DecideCall, SendPeer
from croftchute.peers.messages import Finish
from croftchute.systems.dedupe import Dedupe
from croftchute.systems.dedupe_map import MAX_CLOCK_SKEW_S, first_rows, repaired_rows
from croftchute.tables.dedupe import EMPTY_MAP, Decision, Member, Phase, RangeMap
from croftchute.tables.rows import changed

BOXES = ("a", "b", "c", "d")
KEYS = 3
STEPS = 220


class Walk:
    """A store, four boxes and a bag of messages under way."""

    def __init__(self, seed, kind=Dedupe):
        self.rng = random.Random(seed)
        self.kind = kind
        self.now = 1000.0
        self.store = EMPTY_MAP
        self.bag = []
        self.runs = {}
        self.minted = {}
        self.tokens = 0
        self.answers = 0
        self.boxes = {box: kind(box=box, incarnation=1) for box in BOXES}
        members = [Member(box=box, incarnation=1) for box in BOXES]
        self.write(EMPTY_MAP.version, first_rows({"hall": members}))
        for box in BOXES:
            self.learn(box)
        for _ in range(400):
            self.deliver()

    def write(self, version, rows):
        if version == self.store.version and rows != self.store.rows:
            self.store = RangeMap(version=version + 1, rows=rows)

    def learn(self, box):
        self.carry(box, self.boxes[box].learn(self.store, self.now))

    def carry(self, box, commands):
        for command in commands:
            if isinstance(command, SendPeer):
                self.bag.append((box, command.box, command.body))
            elif isinstance(command, DecideCall) and command.decision == Decision.RUN:
                self.run(box, command.token)

    def run(self, box, token):
        key = self.key_of[token]
        self.runs[key] = self.runs.get(key, 0) + 1
        phase = self.rng.choice((Phase.DONE, Phase.UNKNOWN))
        body = Finish(key=key, token=token, epoch=0, phase=phase, answer=b"x", status=200)
        self.carry(box, self.boxes[box].tell(body, self.now))

    key_of: dict = {}

    def ask(self, box):
        if len(self.minted) < KEYS or self.rng.random() < 0.05:
            self.minted[f"key-{len(self.minted)}"] = self.now
        key = self.rng.choice(list(self.minted))
        self.tokens += 1
        token = f"t{self.tokens}"
        self.key_of = {**self.key_of, token: key}
        self.carry(box, self.boxes[box].ask(key, token, self.minted[key], self.now))

    def deliver(self):
        if not self.bag:
            return
        index = self.rng.randrange(len(self.bag))
        sender, receiver, body = self.bag[index]
        if self.rng.random() > 0.1:
            del self.bag[index]
        if self.rng.random() > 0.05:
            self.carry(receiver, self.boxes[receiver].receive(sender, body, self.now))

    def tick(self, box):
        self.now += self.rng.choice((0.0, 0.11, 0.6))
        self.carry(box, self.boxes[box].tick(self.now))

    def restart(self, box):
        incarnation = self.boxes[box].own.incarnation + 1
        self.boxes[box] = self.kind(box=box, incarnation=incarnation)

    def hear(self, box):
        other = self.rng.choice(BOXES)
        self.boxes[box].restarted(other, self.boxes[other].own.incarnation)

    def repair(self, box):
        dedupe = self.boxes[box]
        suspected = {name for name in BOXES if self.rng.random() < 0.4}
        rows = repaired_rows(
            dedupe.map,
            own=dedupe.own,
            holds=dedupe.holds,
            is_live=lambda member: member.box not in suspected,
            has_ended=dedupe.has_ended,
            spares=[self.boxes[name].own for name in BOXES if name not in suspected],
            now=self.now,
        )
        self.write(dedupe.map.version, rows)

    def step(self):
        box = self.rng.choice(BOXES)
        action = self.rng.choices(
            (self.ask, self.tick, self.learn, self.repair, self.hear, self.restart),
            (6, 8, 3, 0.6, 2, 0.25),
        )[0]
        action(box)
        for _ in range(self.rng.randrange(14)):
            self.deliver()


def most_runs(seed, kind=Dedupe):
    walk = Walk(seed, kind)
    for _ in range(STEPS):
        walk.step()
    return max(walk.runs.values(), default=0), sum(walk.runs.values())


def test_no_key_runs_twice_whatever_happens():
    results = [most_runs(seed) for seed in range(120)]
    assert max(most for most, _ in results) == 1
    assert sum(total for _, total in results) > 100


class GrantsAlone(Dedupe):
    """Broken: lets a call run without the second's word."""

    def _begin(self, sender, body, now):
        self._asker_by_message[body.token, Phase.GRANTED] = sender
        mirrored = body.token, body.key
        if body.key in self.records_by_key:
            return super()._begin(sender, body, now)
        commands = super()._begin(sender, body, now)
        if not commands:
            return commands

        class Word:
            token, key = mirrored
            epoch = body.epoch
            phase = Phase.GRANTED

        return commands + self._let_run(sender, Word, now)


class ForgetsFloor(Dedupe):
    """Broken: runs keys from before a range lost both its boxes."""

    def ask(self, key, token, minted, now):
        return super().ask(key, token, None, now)


class KeepsOldEpoch(Dedupe):
    """Broken: a second that answers to any epoch."""

    def _mirror(self, sender, body, now):
        row = self._rows_by_index.get(0)
        own = [r for r in self.map.rows if self.own in (r.first, r.second)]
        epoch = max((r.epoch for r in own), default=row.epoch if row else 0)
        commands = super()._mirror(sender, body, now)
        return [changed(c, body=replace(c.body, accepted=True)) if epoch else c for c in commands]


@pytest.mark.parametrize("kind", [GrantsAlone, ForgetsFloor, KeepsOldEpoch])
def test_a_broken_variant_is_found_out(kind):
    assert any(most_runs(seed, kind)[0] > 1 for seed in range(400))


def test_a_key_from_the_future_is_refused():
    walk = Walk(1)
    (decided,) = walk.boxes["a"].ask("k", "t", walk.now + MAX_CLOCK_SKEW_S + 1, walk.now)
    assert (decided.decision, decided.code) == (Decision.REFUSE, "key_invalid")


def test_without_the_second_nothing_runs_and_the_caller_hears_soon():
    walk = Walk(2)
    walk.bag.clear()
    walk.boxes["a"].ask("key-x", "t9", walk.now, walk.now)
    walk.now += 1.2
    decided = [c for c in walk.boxes["a"].tick(walk.now) if isinstance(c, DecideCall)]
    assert [c.code for c in decided] == ["dedupe_unavailable"]
