from types import SimpleNamespace

from croftchute.forwarding.client_watch import ClientWatch
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.http.client_memory import Release, ReleaseCause
from croftchute.forwarding.traffic_metrics import TrafficMetrics
from croftchute.systems.memory_account import MemoryAccount

ACCOUNT = MemoryAccount(bound=1000)


class Log:
    def __init__(self):
        self.lines = []

    def decide(self, decision, **values):
        self.lines.append((decision, values))


def watch():
    state = SimpleNamespace(metrics=TrafficMetrics(), log=Log())
    return ClientWatch(state=state), state


def released(size):
    return Release(
        cause=ReleaseCause.TOO_SLOW, held_bytes=size, held_in_all=size, bound=1000, clients=1
    )


def test_nothing_is_logged_while_nothing_happens():
    made, state = watch()
    made.report(ACCOUNT, 0.0, paced=0)
    assert state.log.lines == []


def test_many_releases_make_one_line():
    made, state = watch()
    for size in (10, 30, 20):
        made.note_release(released(size))
    made.report(ACCOUNT, 1.0, paced=2)
    made.report(ACCOUNT, 2.0, paced=0)
    [(decision, values)] = state.log.lines
    assert decision is Decision.CLIENTS_RELEASED
    assert (values["outcome"], values["released"]) == ("closed", {"too_slow": 3})
    assert (values["largest_bytes"], values["paced"]) == (30, 2)
    assert state.metrics.clients_released.get({"cause": "too_slow"}) == 3
    assert state.metrics.connections_paced.get({}) == 2


def test_connections_that_are_paced_make_a_line_of_their_own():
    made, state = watch()
    made.report(ACCOUNT, 1.0, paced=1)
    assert [values["outcome"] for _, values in state.log.lines] == ["paced"]
