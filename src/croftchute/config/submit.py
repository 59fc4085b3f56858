"""Submitting configuration: by compare-and-swap, with a change id that settles lost answers."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

from croftchute.config.checks import dump_document, parse_document
from croftchute.config.documents import Document
from croftchute.errors import Code, ConflictError, CroftchuteError, StoreError
from croftchute.storage.store import CONFIG_KEY, HISTORY_PREFIX, Entry, Store

HISTORY_SLOTS = 64
MAX_VALUE_BYTES = 1_000_000
READ_BACK_TRIES = 5


@dataclass(frozen=True, kw_only=True)
class Accepted:
    """A configuration that the store has taken."""

    revision: int
    change_id: str


@dataclass(frozen=True, kw_only=True)
class Version:
    """One configuration that was in force, or is."""

    revision: int
    change_id: str
    document: Document


def current(store: Store) -> Version | None:
    """The configuration in the store; None if there is none yet."""
    return _version(store.get(CONFIG_KEY))


def submit(
    store: Store, document: Document, *, change_id: str, expected: int | None = None
) -> Accepted:
    """Put a checked document in the store, in place of revision ``expected`` or the present one.

    Raises :class:`ConflictError` if another change came first, naming it and what it changed,
    and :class:`StoreError` if it cannot be told whether the change took effect.
    """
    changed = replace(document, change_id=change_id)
    raw = dump_document(changed)
    if len(raw) > MAX_VALUE_BYTES:
        message = f"{len(raw)} bytes, the store holds {MAX_VALUE_BYTES}"
        raise CroftchuteError(Code.CONFIG_INVALID, message)
    before = store.get(CONFIG_KEY)
    revision = before.revision if expected is None else expected
    if revision != before.revision:
        raise _conflict(changed, before)
    if before.revision:
        _keep(store, before)
    try:
        written = store.compare_and_swap(CONFIG_KEY, raw, revision=revision)
    except StoreError as error:
        if not error.maybe_applied:
            raise
        return _settle(store, changed, revision)
    if written is None:
        raise _conflict(changed, store.get(CONFIG_KEY))
    return Accepted(revision=written.revision, change_id=change_id)


def history(store: Store) -> list[Version]:
    """The configurations still kept, newest first, the present one included."""
    versions = [_version(store.get(CONFIG_KEY))]
    versions += [_version(store.get(f"{HISTORY_PREFIX}{n}")) for n in range(HISTORY_SLOTS)]
    found = [version for version in versions if version is not None]
    return sorted(found, key=lambda version: version.revision, reverse=True)


def changed_paths(old: Any, new: Any, path: str = "$") -> Iterator[str]:
    """JSON paths at which two documents differ.

    >>> list(changed_paths({"a": 1, "b": [1]}, {"a": 2, "b": [1]}))
    ['$.a']
    """
    if isinstance(old, dict) and isinstance(new, dict):
        for key in sorted(set(old) | set(new)):
            yield from changed_paths(old.get(key), new.get(key), f"{path}.{key}")
    elif isinstance(old, list) and isinstance(new, list) and len(old) == len(new):
        for index, (left, right) in enumerate(zip(old, new, strict=True)):
            yield from changed_paths(left, right, f"{path}[{index}]")
    elif old != new:
        yield path


def _settle(store: Store, changed: Document, revision: int) -> Accepted:
    """Find out by reading whether a write whose answer was lost took effect."""
    failure: StoreError | None = None
    for _ in range(READ_BACK_TRIES):
        try:
            now = store.get(CONFIG_KEY)
        except StoreError as error:
            failure = error
            continue
        found = _version(now)
        if found is not None and found.change_id == changed.change_id:
            return Accepted(revision=found.revision, change_id=found.change_id)
        if now.revision == revision:
            message = f"change {changed.change_id} has not taken effect; submit it again"
            raise StoreError(Code.STORE_UNAVAILABLE, message, maybe_applied=True)
        raise _conflict(changed, now)
    message = f"change {changed.change_id} may have taken effect: {failure}"
    raise StoreError(Code.STORE_UNAVAILABLE, message, maybe_applied=True)


def _keep(store: Store, entry: Entry) -> None:
    """Keep the configuration that is about to be replaced."""
    version = _version(entry)
    if version is None:
        return
    key = f"{HISTORY_PREFIX}{entry.revision % HISTORY_SLOTS}"
    held = store.get(key)
    record = {"revision": entry.revision, "document": json.loads(entry.value)}
    store.compare_and_swap(key, json.dumps(record).encode(), revision=held.revision)


def _version(entry: Entry) -> Version | None:
    if not entry.revision:
        return None
    fields = json.loads(entry.value)
    if set(fields) == {"revision", "document"}:
        document = parse_document(json.dumps(fields["document"]))
        revision = int(fields["revision"])
    else:
        document, revision = parse_document(entry.value), entry.revision
    return Version(revision=revision, change_id=document.change_id, document=document)


def _conflict(changed: Document, winner: Entry) -> ConflictError:
    theirs = json.loads(winner.value) if winner.revision else {}
    ours = json.loads(dump_document(changed))
    paths = tuple(path for path in changed_paths(ours, theirs) if path != "$.change_id")
    message = (
        f"revision {winner.revision} came first; it differs at {', '.join(paths) or 'nothing'}"
    )
    return ConflictError(message, revision=winner.revision, paths=paths)
