import dataclasses
import random
from pathlib import Path
from typing import get_args, get_type_hints

import capnp
import pytest
from hypothesis import given
from hypothesis import strategies as st

from croftchute.errors import Code, MessageError
from croftchute.peers import codec
from croftchute.peers.codec import (
    MAX_ITEMS,
    SCHEMA,
    STRUCTS_BY_LIST,
    TAG_BYTES,
    Codec,
    Envelope,
)
from croftchute.peers.messages import Body, BoxNotice, Released
from croftchute.tables.peers import WorkerNotice

CODEC = Codec(keys=["k" * 16])
SCHEMA_PATH = Path(codec.__file__).with_name("schema.capnp")
NEWEST_FIELDS = (
    "  continuesByVersion @17 :Bool;\n",
    "  standsBack @18 :Bool;\n",
    "  partsColumns @1 :PartNoticeColumns;\n",
    "    originNews @17 :OriginNews;\n",
    "    originAsk @18 :OriginAsk;\n",
    "    originReply @19 :OriginReply;\n",
)
VALUES = {str: "text", int: 7, float: 0.5, bytes: b"raw", bool: True, Code: Code.NO_CAPACITY}
VALUES |= {tuple[str, ...]: ("a", "b"), tuple[int, ...]: (1, 2**31)}


def example(kind):
    hints = get_type_hints(kind)
    made = {
        field.name: (
            (example(STRUCTS_BY_LIST[hints[field.name]]),)
            if hints[field.name] in STRUCTS_BY_LIST
            else VALUES[hints[field.name]]
        )
        for field in dataclasses.fields(kind)
    }
    return kind(**made)


@pytest.mark.parametrize("kind", get_args(Body), ids=lambda kind: kind.__name__)
def test_every_message_survives_the_wire(kind):
    envelope = Envelope(sender="b", stamp=3, bodies=(example(kind),))
    assert CODEC.decode(CODEC.encode(envelope)) == envelope


@pytest.mark.parametrize("name", ["", "r", "f" * 32, "x" * 32, "f" * 15, "f" * 16, "é" * 8])
def test_ids_of_any_form_survive_the_wire(name):
    body = dataclasses.replace(example(Released), request_id=name)
    envelope = Envelope(sender="b", stamp=3, bodies=(body,))
    assert CODEC.decode(CODEC.encode(envelope)) == envelope


def test_a_message_with_another_key_is_not_taken():
    datagram = Codec(keys=["x" * 16]).encode(Envelope(sender="b", stamp=1, bodies=()))
    with pytest.raises(MessageError):
        CODEC.decode(datagram)
    assert Codec(keys=["k" * 16, "x" * 16]).decode(datagram).sender == "b"


@given(st.binary(max_size=200))
def test_any_bytes_with_a_good_tag_give_a_message_or_a_typed_error(payload):
    datagram = bytes.fromhex(CODEC.sign(payload)) + payload
    try:
        CODEC.decode(datagram)
    except MessageError:
        return


def test_damaged_messages_give_a_typed_error_or_a_message():
    rng = random.Random(1)
    bodies = tuple(example(kind) for kind in get_args(Body))
    whole = CODEC.encode(Envelope(sender="b", stamp=3, bodies=bodies))[16:]
    for _ in range(2000):
        damaged = bytearray(whole)
        for _ in range(rng.randint(1, 4)):
            damaged[rng.randrange(len(damaged))] = rng.randrange(256)
        payload = bytes(damaged[: rng.randint(1, len(damaged))])
        try:
            CODEC.decode(bytes.fromhex(CODEC.sign(payload)) + payload)
        except MessageError:
            continue


def notice_with(columns):
    """A notice whose columns of worker notices are filled in by hand."""
    message = SCHEMA.Envelope.new_message()
    notice = message.init("messages", 1)[0].init("boxNotice")
    made = notice.init("workersColumns")
    for name, values in columns.items():
        setattr(made, name, values)
    payload = message.to_bytes_packed()
    return bytes.fromhex(CODEC.sign(payload)) + payload


def whole_columns(rows):
    names = ("inFlight", "failures", "waitS", "changingS")
    texts = {"worker": ["w"] * rows, "changingTo": [""] * rows}
    return texts | {name: [1] * rows for name in names}


def test_rows_sent_by_columns_come_back_in_their_order():
    rows = tuple(
        WorkerNotice(
            worker=f"w{n}",
            in_flight=70_000 + n,
            failures=0.5 * n,
            wait_s=0.25,
            changing_to="decode" if n == 2 else "",
            changing_s=1.5,
        )
        for n in range(5)
    )
    body = dataclasses.replace(example(BoxNotice), workers=rows)
    datagram = CODEC.encode(Envelope(sender="b", stamp=3, bodies=(body,)))
    assert CODEC.decode(datagram).bodies[0].workers == rows


def test_columns_of_unequal_length_are_no_message():
    assert len(CODEC.decode(notice_with(whole_columns(3))).bodies[0].workers) == 3
    with pytest.raises(MessageError):
        CODEC.decode(notice_with(whole_columns(3) | {"inFlight": [1, 2]}))


def test_columns_of_more_rows_than_a_datagram_can_mean_are_no_message():
    with pytest.raises(MessageError):
        CODEC.decode(notice_with(whole_columns(MAX_ITEMS + 1)))


def earlier_schema(folder):
    """The schema without the newest fields and messages, as boxes of the version before have it."""
    text = SCHEMA_PATH.read_text()
    for line in NEWEST_FIELDS:
        assert line in text
        text = text.replace(line, "")
    path = folder / "earlier.capnp"
    # The library takes each id of a file once.
    path.write_text(text.replace("@0xd", "@0xe", 1))
    return capnp.load(str(path))


def test_boxes_of_the_version_before_read_new_notices_and_are_read(tmp_path):
    """Guards against a rolling update in which boxes drop each other's notices."""
    earlier = earlier_schema(tmp_path)
    notice = example(BoxNotice)
    assert notice.reaches_workers and notice.continues_by_version
    datagram = CODEC.encode(Envelope(sender="b", stamp=3, bodies=(notice,)))
    read = earlier.Envelope.from_bytes_packed(datagram[TAG_BYTES:])
    assert read.messages[0].boxNotice.controlPort == notice.control_port
    message = earlier.Envelope.new_message(sender="b")
    message.init("messages", 1)[0].init("boxNotice").hall = "a"
    payload = message.to_bytes_packed()
    tag = bytes.fromhex(CODEC.sign(payload))
    (heard,) = CODEC.decode(tag + payload).bodies
    assert heard.hall == "a" and not heard.reaches_workers
