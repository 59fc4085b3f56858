"""Without faults, a pair of boxes says what one dictionary would say."""

from hypothesis import given, settings
from hypothesis import strategies as st

from croftchute.commands import DecideCall, SendPeer
from croftchute.errors import Code
from croftchute.peers.messages import Finish
from croftchute.systems.dedupe import Dedupe
from croftchute.systems.dedupe_map import first_rows
from croftchute.tables.dedupe import Decision, Member, Phase, RangeMap

KEYS = st.sampled_from(["k1", "k2", "k3"])
ENDS = st.sampled_from([Phase.DONE, Phase.UNKNOWN, Phase.ABANDONED, None])
STEPS = st.lists(st.tuples(st.sampled_from("abc"), KEYS, ENDS, st.booleans()), max_size=25)
SAID = {
    Phase.GRANTED: Code.IN_PROGRESS,
    Phase.UNKNOWN: Code.OUTCOME_UNKNOWN,
    Phase.DELIVERED: Code.ALREADY_ANSWERED,
}


class NaiveDedupe:
    """One dictionary that knows everything at once."""

    def __init__(self):
        self.phase_by_key = {}

    def ask(self, key):
        phase = self.phase_by_key.get(key)
        if phase is None:
            self.phase_by_key[key] = Phase.GRANTED
            return Decision.RUN, ""
        if phase is Phase.DONE:
            return Decision.STORED, ""
        return Decision.REFUSE, SAID[phase]

    def tell(self, key, phase):
        if phase is Phase.ABANDONED:
            del self.phase_by_key[key]
        else:
            self.phase_by_key[key] = phase


class Pair:
    """Three boxes whose messages are all delivered at once."""

    def __init__(self):
        self.boxes = {name: Dedupe(box=name, incarnation=1) for name in "abc"}
        rows = first_rows({"hall": [Member(box=name, incarnation=1) for name in "abc"]})
        for name in "abc":
            self.carry(name, self.boxes[name].learn(RangeMap(version=1, rows=rows), 0.0))
        for name in "abc":
            self.carry(name, self.boxes[name].tick(1.0))

    def carry(self, box, commands):
        decided = []
        for command in commands:
            if isinstance(command, SendPeer):
                answer = self.boxes[command.box].receive(box, command.body, 2.0)
                decided += self.carry(command.box, answer)
            elif isinstance(command, DecideCall):
                decided.append(command)
        return decided


@settings(max_examples=80)
@given(STEPS)
def test_the_pair_says_what_a_dictionary_says(steps):
    pair, naive = Pair(), NaiveDedupe()
    for number, (box, key, end, delivers) in enumerate(steps):
        token = f"t{number}"
        (decided,) = pair.carry(box, pair.boxes[box].ask(key, token, 2.0, 2.0))
        assert (decided.decision, decided.code) == naive.ask(key)
        if decided.decision != Decision.RUN or end is None:
            continue
        phases = [end, Phase.DELIVERED] if end is Phase.DONE and delivers else [end]
        for phase in phases:
            finish = Finish(key=key, token=token, epoch=0, phase=phase)
            pair.carry(box, pair.boxes[box].tell(finish, 2.0))
            naive.tell(key, phase)
