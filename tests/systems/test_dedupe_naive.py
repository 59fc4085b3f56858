"""Without faults, the boxes of a range give the verdicts that a single dictionary would."""

from hypothesis import given, settings
from hypothesis import strategies as st

from croftchute.commands import DecideCall, SendPeer
from croftchute.errors import Code
from croftchute.peers.messages import Finish
from croftchute.systems.dedupe import Deduplicator
from croftchute.systems.dedupe_map import initial_rows
from croftchute.tables.dedupe import BoxIncarnation, Decision, Phase, RangeMap

KEYS = st.sampled_from(["k1", "k2", "k3"])
END_PHASES = st.sampled_from([Phase.DONE, Phase.UNKNOWN, Phase.ABANDONED, None])
STEPS = st.lists(st.tuples(st.sampled_from("abc"), KEYS, END_PHASES, st.booleans()), max_size=25)
CODE_BY_PHASE = {
    Phase.GRANTED: Code.IN_PROGRESS,
    Phase.UNKNOWN: Code.OUTCOME_UNKNOWN,
    Phase.DELIVERED: Code.ALREADY_ANSWERED,
}


class DictDeduplicator:
    """Reference model: one dictionary of phases by key."""

    def __init__(self):
        self.phase_by_key = {}

    def begin_call(self, key):
        phase = self.phase_by_key.get(key)
        if phase is None:
            self.phase_by_key[key] = Phase.GRANTED
            return Decision.RUN, ""
        if phase is Phase.DONE:
            return Decision.STORED, ""
        return Decision.REFUSE, CODE_BY_PHASE[phase]

    def finish_call(self, key, phase):
        if phase is Phase.ABANDONED:
            del self.phase_by_key[key]
        else:
            self.phase_by_key[key] = phase


class ConnectedBoxes:
    """Three boxes whose messages are delivered immediately."""

    def __init__(self):
        self.boxes = {name: Deduplicator(box=name, incarnation=1) for name in "abc"}
        rows = initial_rows({"hall": [BoxIncarnation(box=name, incarnation=1) for name in "abc"]})
        for name in "abc":
            self.handle_commands(
                name, self.boxes[name].apply_map(RangeMap(version=1, rows=rows), 0.0)
            )
        for name in "abc":
            self.handle_commands(name, self.boxes[name].tick(1.0))

    def handle_commands(self, box, commands):
        decided = []
        for command in commands:
            if isinstance(command, SendPeer):
                answer = self.boxes[command.box].receive(box, command.body, 2.0)
                decided += self.handle_commands(command.box, answer)
            elif isinstance(command, DecideCall):
                decided.append(command)
        return decided


@settings(max_examples=80)
@given(STEPS)
def test_verdicts_match_a_dictionary(steps):
    connected, reference = ConnectedBoxes(), DictDeduplicator()
    for number, (box, key, end, delivers) in enumerate(steps):
        token = f"t{number}"
        (decided,) = connected.handle_commands(
            box, connected.boxes[box].begin_call(key, token, 2.0, 2.0)
        )
        assert (decided.decision, decided.code) == reference.begin_call(key)
        if decided.decision != Decision.RUN or end is None:
            continue
        phases = [end, Phase.DELIVERED] if end is Phase.DONE and delivers else [end]
        for phase in phases:
            finish = Finish(key=key, token=token, epoch=0, phase=phase)
            connected.handle_commands(box, connected.boxes[box].finish_call(finish, 2.0))
            reference.finish_call(key, phase)
