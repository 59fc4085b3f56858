"""Entries of the worker list, sound and spoiled: a typed worker, or a refusal, and nothing else."""

import contextlib
import json
import random

import msgspec
import pytest
from croftchute_platform.entries import read_worker
from hypothesis import given
from hypothesis import strategies as st

from croftchute.errors import DocumentError
from croftchute.tables.routing import Stage, WorkerState

SOUND = {
    "Service": "llm",
    "Address": "10.1.64.31:8369",
    "Zone": "plateau",
    "Version": "v1",
    "Slots": 128,
    "State": "ready",
    "ColdLeftMs": 0,
    "Sequence": 1,
    "Stage": "decode",
    "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
    "born": 1770000000000,
}
OPTIONAL = {"Stage", "Models", "born"}
ODD = [None, True, -1, 0, 1.5, 10**400, "", "x", "x" * 70000, [], {}, [1], {"a": 1}, [None]]
SPOILED = 20_000


def read(entry):
    return read_worker("i-1", json.dumps(entry).encode())


def is_sound(worker):
    """Whether each field is one that the rest may go by."""
    host = [int(part) for part in worker.host.split(".")]
    return (
        worker.service != ""
        and worker.zone != ""
        and len(host) == 4
        and all(0 <= part < 256 for part in host)
        and 0 < worker.port < 65536
        and type(worker.slots) is int
        and worker.slots >= 1
        and isinstance(worker.state, WorkerState)
        and (worker.stage is None or isinstance(worker.stage, Stage))
        and all(type(version) is int for version in worker.model_versions.values())
        and (worker.born_ms is None or type(worker.born_ms) is int)
    )


def test_a_sound_entry_names_one_life_of_a_worker():
    worker = read(SOUND)
    assert (worker.id, worker.list_name, worker.born_ms) == (
        "i-1@1770000000000",
        "i-1",
        1770000000000,
    )
    assert (worker.host, worker.port, worker.stage) == ("10.1.64.31", 8369, Stage.DECODE)
    assert read(SOUND | {"unknown": {"deep": [1]}}) == worker


def test_a_worker_that_tells_no_start_goes_by_its_name():
    entry = {key: value for key, value in SOUND.items() if key not in OPTIONAL}
    assert (read(entry).id, read(entry).stage) == ("i-1", None)


@pytest.mark.parametrize("field", sorted(set(SOUND) - OPTIONAL))
def test_an_entry_without_a_field_names_no_worker(field):
    with pytest.raises(DocumentError):
        read({key: value for key, value in SOUND.items() if key != field})


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("Address", "10.1.64.31"),
        ("Address", "10.1.64.31:0"),
        ("Address", "10.1.64.31:99999"),
        ("Address", "10.1.64.31:-1"),
        ("Address", "10.1.64.31:80 "),
        ("Address", "10.1.64.31\r\nX: y:80"),
        ("Address", "host.example:80"),
        ("Address", "0.0.0.0:80"),
        ("Address", 8369),
        ("Service", None),
        ("Service", ""),
        ("Zone", 7),
        ("Slots", 0),
        ("Slots", -1),
        ("Slots", True),
        ("Slots", "128"),
        ("Slots", 10**30),
        ("State", "resting"),
        ("State", None),
        ("Stage", "thinking"),
        ("Models", {}),
        ("Models", [{"Name": "m"}]),
        ("born", "1770000000000"),
        ("born", 1.5),
        ("born", -1),
        ("born", True),
        ("Sequence", "4"),
        ("ColdLeftMs", "soon"),
    ],
)
def test_a_field_out_of_range_or_of_another_type_names_no_worker(field, value):
    with pytest.raises(DocumentError):
        read(SOUND | {field: value})


@pytest.mark.parametrize(
    "value",
    [b"", b"\xff\xfe", b"null", b"[]", b"7", b"[" * 100_000, b'{"x":' * 100_000, b"{}" * 40_000],
    ids=range(8),
)
def test_bytes_that_are_no_entry_name_no_worker(value):
    with pytest.raises(DocumentError):
        read_worker("i-1", value)


def test_a_deep_field_that_is_not_known_does_not_end_the_reading():
    deep = b'{"deep":' + b"[" * 20_000 + b"]" * 20_000 + b"," + json.dumps(SOUND).encode()[1:]
    with contextlib.suppress(DocumentError):
        assert is_sound(read_worker("i-1", deep))


@given(st.binary(max_size=300))
def test_no_bytes_get_past_the_reading(value):
    with contextlib.suppress(DocumentError):
        assert is_sound(read_worker("i-1", value))


def spoil(rng):
    """A sound entry with some fields or bytes changed."""
    entry = dict(SOUND)
    for _ in range(rng.randint(0, 3)):
        field = rng.choice(list(entry))
        if rng.random() < 0.3:
            del entry[field]
        else:
            entry[field] = rng.choice([*ODD, rng.choice(list(SOUND.values()))])
    value = bytearray(json.dumps(entry).encode())
    for _ in range(rng.choice([0, 0, 1, 4])):
        value[rng.randrange(len(value))] = rng.randrange(256)
    return bytes(value)


def test_spoiled_entries_give_a_sound_worker_or_a_refusal():
    rng = random.Random(11)
    refused = 0
    for _ in range(SPOILED):
        try:
            assert is_sound(read_worker("i-1", spoil(rng)))
        except DocumentError as error:
            assert len(error.message) < 1000
            refused += 1
    assert refused > SPOILED // 2


def test_what_is_read_is_what_a_plain_reader_finds():
    worker = read(SOUND)
    plain = msgspec.json.decode(json.dumps(SOUND))
    assert worker.address == plain["Address"]
    assert worker.model_versions == {"m": 1}
