import json

from croftchute.timeline.events import Event, Kind
from croftchute.timeline.merge import as_chrome_trace, as_text, gaps, merge, select
from croftchute.timeline.ring import EventRing, from_record
from croftchute.timeline.stamps import StampClock


def test_a_cause_comes_before_its_effect_though_the_clocks_disagree():
    ahead, behind = StampClock(), StampClock()
    first = EventRing(process="a", clock=ahead)
    second = EventRing(process="b", clock=behind)
    cause = first.emit(Event(kind=Kind.RESERVE_ASKED, request_id="r"), 1000.0)
    behind.witness(cause.stamp)
    second.emit(Event(kind=Kind.RESERVE_GRANTED, request_id="r"), 990.0)
    kinds = [e.event.kind for e in merge(second.events() + first.events())]
    assert kinds == [Kind.RESERVE_ASKED, Kind.RESERVE_GRANTED]


def test_lost_events_show_as_a_gap():
    ring = EventRing(process="a", clock=StampClock(), size=3)
    for n in range(5):
        ring.emit(Event(kind=Kind.BOX_LIVE), float(n))
    assert [(gap.process, gap.missing) for gap in gaps(ring.events())] == [("a", 2)]


def test_events_survive_their_record_and_are_selected():
    ring = EventRing(process="a", clock=StampClock())
    ring.emit(Event(kind=Kind.FIRST_TOKEN, request_id="r", upstream="u", attempt=2), 5.0)
    ring.emit(Event(kind=Kind.FIRST_TOKEN, request_id="s"), 6.0)
    events = [from_record(json.loads(json.dumps(e.as_record()))) for e in ring.events()]
    assert events == ring.events()
    assert [e.event.request_id for e in select(events, upstream="u")] == ["r"]
    assert [e.event.request_id for e in select(events, since=5.5)] == ["s"]
    assert "first_token" in as_text(events)
    assert len(json.loads(as_chrome_trace(events))["traceEvents"]) == 2
