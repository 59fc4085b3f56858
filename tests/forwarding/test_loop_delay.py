"""What a box says of its own lateness; guards against blaming workers for a box that is late."""

from types import SimpleNamespace

from croftchute.forwarding.loop_delay import LOG_INTERVAL_S, NOTABLE_S, LoopDelay


def make_delay():
    lines, shown = [], []
    state = SimpleNamespace(
        log=SimpleNamespace(decide=lambda kind, **inputs: lines.append(inputs)),
        metrics=SimpleNamespace(
            loop_delay=SimpleNamespace(set=lambda _, value: shown.append(value))
        ),
        links=SimpleNamespace(are_lost=False),
    )
    return LoopDelay(state=state, open_requests=lambda: 7), lines, shown


def test_the_longest_delay_of_an_interval_is_logged_once():
    delay, lines, shown = make_delay()
    delay.note(0.0, now=0.0)
    for number, seconds in enumerate((0.01, 3 * NOTABLE_S, NOTABLE_S)):
        delay.note(seconds, now=0.1 + 0.1 * number)
    assert lines == []
    delay.note(0.0, now=LOG_INTERVAL_S)
    assert [line["longest_ms"] for line in lines] == [round(3000 * NOTABLE_S)]
    assert lines[0]["open_requests"] == 7 and shown[-1] == 3 * NOTABLE_S


def test_a_loop_that_keeps_up_is_not_logged():
    delay, lines, _ = make_delay()
    for number in range(40):
        delay.note(NOTABLE_S / 2, now=0.1 * number)
    assert lines == []
