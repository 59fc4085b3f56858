"""Checking JSON documents against pydantic data classes, with every fault listed by path."""

from __future__ import annotations

from typing import Any, TypeVar

from pydantic import ConfigDict, TypeAdapter, ValidationError

from croftchute.errors import Code, DocumentError, Fault

STRICT = ConfigDict(extra="forbid", strict=False)
"""Shared by all document types: an unknown key is a fault."""

T = TypeVar("T")


def load(kind: type[T], raw: bytes | str, *, code: Code) -> T:
    """Read ``raw`` JSON into ``kind``; raises :class:`DocumentError` naming every fault."""
    try:
        return TypeAdapter(kind).validate_json(raw)
    except ValidationError as error:
        faults = tuple(_fault(entry, code) for entry in error.errors(include_url=False))
    summary = "; ".join(f"{fault.path}: {fault.message}" for fault in faults)
    raise DocumentError(code, summary, faults=faults)


def dump(kind: type[T], document: T) -> bytes:
    """Write a document back as JSON, in the form that :func:`load` reads."""
    return TypeAdapter(kind).dump_json(document, indent=2)


def _fault(entry: Any, code: Code) -> Fault:
    path = "$" + "".join(
        f"[{part}]" if isinstance(part, int) else f".{part}" for part in entry["loc"]
    )
    return Fault(path=path, code=code, message=entry["msg"])
