"""What boxes tell each other of the store: short values as they are, long ones deflated."""

import os

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from croftchute.errors import MessageError
from croftchute.forwarding.store import news_messages
from croftchute.forwarding.store.news_messages import (
    MAX_TOLD_BYTES,
    Known,
    ToldItem,
    decode_known,
    decode_news,
    encode_known,
    encode_news,
)
from croftchute.storage.watched import Changes, Listing, StoredItem

items = st.builds(
    StoredItem,
    key=st.text(max_size=20),
    value=st.one_of(st.binary(max_size=50), st.integers(1000, 5000).map(lambda n: b"ab" * n)),
    revision=st.integers(0, 2**60),
)


@given(st.lists(items, max_size=5), st.lists(st.text(max_size=9), max_size=3))
def test_what_is_told_is_what_is_heard(written, removed):
    changes = Changes(written=tuple(written), removed=tuple(removed), revision=2**61, newest=2**60)
    told = decode_news(encode_news(changes, proven_s=-0.25))
    assert told.changes == changes and told.proven_s == -0.25
    listing = Listing(items=tuple(written), revision=7)
    assert decode_known(encode_known(listing)) == listing


def test_a_value_that_stays_long_is_only_named():
    long = StoredItem(key="long", value=os.urandom(2 * MAX_TOLD_BYTES), revision=2)
    short = StoredItem(key="short", value=b"x", revision=3)
    changes = Changes(written=(long, short), removed=(), revision=3, newest=3)
    found = decode_news(encode_news(changes)).changes
    assert found.untold == ("long",) and found.written == (short,)


@pytest.mark.parametrize("body", [b"", b"{}", b"\xc1", b"\x80", b"\x00" * 40])
def test_what_is_no_news_is_an_error(body):
    with pytest.raises(MessageError):
        decode_news(body)
    with pytest.raises(MessageError):
        decode_known(body)


@pytest.mark.parametrize("value", [b"not deflated", b""])
def test_a_damaged_value_is_an_error(value):
    told = ToldItem(key="a", value=value, revision=1, is_packed=True)
    with pytest.raises(MessageError):
        decode_known(msgspec.msgpack.encode(Known(items=(told,), revision=1)))


def test_a_value_that_grows_beyond_all_measure_is_an_error(monkeypatch):
    item = StoredItem(key="a", value=b"x" * 50_000, revision=1)
    body = encode_known(Listing(items=(item,), revision=1))
    monkeypatch.setattr(news_messages, "MAX_VALUE_BYTES", 10_000)
    with pytest.raises(MessageError):
        decode_known(body)
