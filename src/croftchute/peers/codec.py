"""Encoding of peer messages: Cap'n Proto, packed, with a keyed checksum in front.

A datagram is a 16-byte BLAKE2b tag over the rest, then one packed ``Envelope``.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, fields
from enum import Enum, StrEnum, auto
from pathlib import Path
from typing import Any, get_args, get_type_hints

import capnp

from croftchute.errors import MessageError
from croftchute.peers.messages import Body
from croftchute.systems.prefill_timing import PrefillSample
from croftchute.tables.allowances import UsageGrant, UsageReturn, UsageWant
from croftchute.tables.crashes import CrashNotice, PartNotice
from croftchute.tables.peers import (
    DemandNotice,
    LimitNotice,
    OrganisationUseNotice,
    RankRoomNotice,
    WorkerNotice,
    WorkerPaceNotice,
)
from croftchute.tables.upstreams import ShardDigest

TAG_BYTES = 16
HEX_DIGITS = 32
MAX_ITEMS = 4096
ID_FIELDS = ("request_id", "key", "token", "digest")
MAX_DATAGRAM = 60000
STRUCTS = (
    ShardDigest,
    WorkerNotice,
    PrefillSample,
    DemandNotice,
    UsageWant,
    UsageGrant,
    UsageReturn,
    CrashNotice,
    PartNotice,
    LimitNotice,
    RankRoomNotice,
    OrganisationUseNotice,
    WorkerPaceNotice,
)
COLUMN_STRUCTS = (
    WorkerNotice,
    PrefillSample,
    CrashNotice,
    PartNotice,
    LimitNotice,
    RankRoomNotice,
    OrganisationUseNotice,
    WorkerPaceNotice,
)
"""Those of which a message holds many: their lists are sent column by column, under a name of their
own, as reading so takes a fraction of the time and boxes read some twenty notices a second."""

COLUMNS_SUFFIX = "Columns"
STRUCTS_BY_LIST: dict[Any, type] = {tuple[kind, ...]: kind for kind in STRUCTS}  # type: ignore[valid-type]
SCHEMA = capnp.load(str(Path(__file__).with_name("schema.capnp")))


@dataclass(frozen=True, kw_only=True, slots=True)
class Envelope:
    """A batch of messages from one box, with its hybrid logical time."""

    sender: str
    stamp: int
    bodies: tuple[Body, ...]


class _Form(Enum):
    """How a field stands in a message: as one value, or as structs, row by row or by columns."""

    VALUE = auto()
    ROWS = auto()
    COLUMNS = auto()


@dataclass(frozen=True, kw_only=True, slots=True)
class _Field:
    """How one field of a message class is written and read."""

    name: str
    wire_name: str
    write: Callable[[Any], Any]
    read: Callable[[Any], Any]
    form: _Form


class Codec:
    """Encodes and decodes envelopes; the first key signs, any key verifies."""

    def __init__(self, *, keys: Sequence[str]) -> None:
        self._keys = [key.encode() for key in keys]

    def encode(self, envelope: Envelope) -> bytes:
        """One datagram; raises :class:`MessageError` if it would be too long."""
        message = SCHEMA.Envelope.new_message()
        message.sender = envelope.sender
        message.stamp = envelope.stamp
        entries = message.init("messages", len(envelope.bodies))
        for entry, body in zip(entries, envelope.bodies, strict=True):
            _fill(entry.init(_NAMES[type(body)]), body)
        payload = message.to_bytes_packed()
        if len(payload) + TAG_BYTES > MAX_DATAGRAM:
            raise MessageError(f"{len(payload)} bytes do not fit a datagram")
        return _tag(self._keys[0], payload) + payload

    def decode(self, datagram: bytes) -> Envelope:
        """Read a datagram; raises :class:`MessageError` unless it is authentic and whole."""
        tag, payload = datagram[:TAG_BYTES], datagram[TAG_BYTES:]
        if not any(hmac.compare_digest(_tag(key, payload), tag) for key in self._keys):
            raise MessageError("the checksum fits none of the keys")
        try:
            message = SCHEMA.Envelope.from_bytes_packed(payload)
            bodies = tuple(_from_wire(entry) for entry in _bounded(message.messages))
            return Envelope(sender=message.sender, stamp=message.stamp, bodies=bodies)
        except (capnp.KjException, ValueError, KeyError) as error:
            raise MessageError(f"malformed: {error}") from None

    def sign(self, payload: bytes) -> str:
        """A hexadecimal tag for bytes that travel another way."""
        return _tag(self._keys[0], payload).hex()

    def verify(self, payload: bytes, tag: str) -> bool:
        """Whether a tag of :meth:`sign` fits the bytes."""
        return any(hmac.compare_digest(_tag(key, payload).hex(), tag) for key in self._keys)


def batches(bodies: Iterable[Body], most: int) -> Iterable[tuple[Body, ...]]:
    """Split bodies into groups of at most ``most``."""
    group: list[Body] = []
    for body in bodies:
        group.append(body)
        if len(group) >= most:
            yield tuple(group)
            group = []
    if group:
        yield tuple(group)


def _tag(key: bytes, payload: bytes) -> bytes:
    return hashlib.blake2b(payload, key=key, digest_size=TAG_BYTES).digest()


def _wire_name(class_name: str) -> str:
    return class_name[0].lower() + class_name[1:]


def _camel(name: str) -> str:
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


def _write_id(value: str) -> bytes:
    """An id as 16 bytes if it is 32 hexadecimal digits, else as text behind a zero byte."""
    if len(value) == HEX_DIGITS and value.isalnum():
        try:
            return bytes.fromhex(value)
        except ValueError:
            pass
    text = b"\0" + value.encode()
    return text if len(text) != HEX_DIGITS // 2 else b"\0" + text


def _read_id(raw: bytes) -> str:
    """Read what :func:`_write_id` wrote."""
    if len(raw) == HEX_DIGITS // 2:
        return bytes(raw).hex()
    return bytes(raw).lstrip(b"\0").decode()


ID_CONVERTERS: tuple[Callable[[Any], Any], Callable[[Any], Any]] = (_write_id, _read_id)


def _bounded(items: Any) -> Any:
    """The list itself, unless it claims more items than a datagram can mean.

    A list of empty items takes no room on the wire, so a damaged one may claim millions.
    """
    if len(items) > MAX_ITEMS:
        raise MessageError(f"a list of {len(items)} items")
    return items


def _same(value: Any) -> Any:
    return value


def _plan(kind: type) -> list[_Field]:
    hints = get_type_hints(kind)
    plan = []
    for field in fields(kind):
        hint = hints[field.name]
        if field.name in ID_FIELDS and hint is str:
            write, read = ID_CONVERTERS
        else:
            write, read = _converters(hint)
        form = _form(hint)
        suffix = COLUMNS_SUFFIX if form is _Form.COLUMNS else ""
        plan.append(
            _Field(
                name=field.name,
                wire_name=_camel(field.name) + suffix,
                write=write,
                read=read,
                form=form,
            )
        )
    return plan


def _form(hint: Any) -> _Form:
    kind = STRUCTS_BY_LIST.get(hint)
    if kind is None:
        return _Form.VALUE
    return _Form.COLUMNS if kind in COLUMN_STRUCTS else _Form.ROWS


def _converters(hint: Any) -> tuple[Callable[[Any], Any], Callable[[Any], Any]]:
    if hint in STRUCTS_BY_LIST:
        kind = STRUCTS_BY_LIST[hint]
        if kind in COLUMN_STRUCTS:
            return _same, lambda value: _read_columns(kind, value)
        return _same, lambda value: tuple(_read(kind, entry) for entry in _bounded(value))
    if getattr(hint, "__origin__", None) is tuple:
        return list, lambda value: tuple(_bounded(value))
    if isinstance(hint, type) and issubclass(hint, StrEnum):
        return str, hint
    if hint is bytes:
        return bytes, bytes
    return _same, _same


_KINDS: dict[str, type] = {_wire_name(kind.__name__): kind for kind in get_args(Body)}
_NAMES: dict[type, str] = {kind: name for name, kind in _KINDS.items()}
_PLANS: dict[type, list[_Field]] = {kind: _plan(kind) for kind in [*get_args(Body), *STRUCTS]}


def _fill(builder: Any, body: Any) -> None:
    """Write a body's fields one by one; building from a dict takes six times as long."""
    for field in _PLANS[type(body)]:
        value = getattr(body, field.name)
        if field.form is _Form.VALUE:
            setattr(builder, field.wire_name, field.write(value))
        elif field.form is _Form.COLUMNS:
            _fill_columns(builder, field, value)
        else:
            for entry, item in zip(builder.init(field.wire_name, len(value)), value, strict=True):
                _fill(entry, item)


def _fill_columns(builder: Any, field: _Field, items: Sequence[Any]) -> None:
    """Write structs of one kind as a list for each of their fields; nothing if there are none."""
    if not items:
        return
    columns = builder.init(field.wire_name)
    for part in _PLANS[type(items[0])]:
        setattr(columns, part.wire_name, [part.write(getattr(item, part.name)) for item in items])


def _read_columns(kind: type, wire: Any) -> tuple[Any, ...]:
    """Read what :func:`_fill_columns` wrote; columns of unequal length are no message."""
    plan = _PLANS[kind]
    columns = [_bounded(wire._get(part.wire_name)) for part in plan]
    if not len(columns[0]):
        return ()
    names = [part.name for part in plan]
    values = [
        list(column) if part.read is _same else [part.read(value) for value in column]
        for part, column in zip(plan, columns, strict=True)
    ]
    rows = zip(*values, strict=True)
    return tuple(kind(**dict(zip(names, row, strict=True))) for row in rows)


def _read(kind: type, wire: Any) -> Any:
    # By name as the library does itself: attribute access goes through a failed look-up first.
    get = wire._get
    return kind(**{field.name: field.read(get(field.wire_name)) for field in _PLANS[kind]})


def _from_wire(entry: Any) -> Body:
    which = str(entry.which())
    body: Body = _read(_KINDS[which], entry._get(which))
    return body
