from croftchute.systems.stream_origins import KEPT_S, MAX_ORIGINS, StreamOrigins
from croftchute.tables.origins import StreamOrigin, stream_key

V1 = StreamOrigin(service="llm", build="v1").digest
V2 = StreamOrigin(service="llm", build="v2").digest


def test_an_origin_is_kept_until_it_is_old():
    origins = StreamOrigins()
    origins.note(1, V1, 0.0)
    assert origins.find(1, KEPT_S) == V1
    assert origins.find(1, KEPT_S + 1.0) is None
    assert origins.find(2, 0.0) is None


def test_of_two_origins_neither_is_believed():
    """Two tries under one id, begun at two versions, would have been taken for one stream."""
    origins = StreamOrigins()
    origins.note(1, V1, 0.0)
    origins.note(1, V1, 0.1)
    assert origins.find(1, 0.2) == V1
    origins.note(1, V2, 0.2)
    origins.note(1, V1, 0.3)
    assert origins.find(1, 0.4) is None


def test_memory_is_bounded_and_the_oldest_go_first():
    origins = StreamOrigins()
    for number in range(MAX_ORIGINS + 100):
        origins.note(stream_key("", str(number)), V1, number / 1000.0)
    assert len(origins) == MAX_ORIGINS
    assert origins.find(stream_key("", "99"), 17.0) is None
    assert origins.find(stream_key("", "100"), 17.0) == V1
