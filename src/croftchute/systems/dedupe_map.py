"""Which pair of boxes keeps each key range: the first map, and the replacement of lost members.

A range is only ever moved by a member that holds all its records, or, when both members are
known to have ended, under a floor that makes all earlier keys unknown. A box that is merely
silent has not ended: it may be cut off and still serve its callers.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace

from croftchute.systems.rendezvous import rank
from croftchute.tables.dedupe import RANGES, BoxIncarnation, RangeMap, RangeRow

MAX_CLOCK_SKEW_S = 5.0

IncarnationPredicate = Callable[[BoxIncarnation], bool]


def initial_rows(members_by_hall: Mapping[str, Iterable[BoxIncarnation]]) -> tuple[RangeRow, ...]:
    """Rows for an empty store: ranges are dealt to halls, pairs to boxes; () without two boxes.

    No floor is needed, since nothing can have run before there was a map.
    """
    groups = {hall: list(members) for hall, members in sorted(members_by_hall.items())}
    pairs = [group for group in groups.values() if len(group) > 1]
    if not pairs:
        everyone = [member for group in groups.values() for member in group]
        pairs = [everyone] if len(everyone) > 1 else []
    if not pairs:
        return ()
    return tuple(
        _assign_pair(index, epoch=1, floor=0.0, members=pairs[index % len(pairs)])
        for index in range(RANGES)
    )


def _assign_pair(
    index: int, *, epoch: int, floor: float, members: list[BoxIncarnation]
) -> RangeRow:
    member_by_box = {member.box: member for member in members}
    first, second = rank(f"range-{index}", member_by_box)[:2]
    return RangeRow(
        index=index,
        epoch=epoch,
        floor=floor,
        floor_epoch=epoch,
        first=member_by_box[first],
        second=member_by_box[second],
    )


def repaired_rows(
    known: RangeMap,
    *,
    own: BoxIncarnation,
    holds_records: Callable[[int], bool],
    is_live: IncarnationPredicate,
    has_ended: IncarnationPredicate,
    replacements: list[BoxIncarnation],
    now: float,
) -> tuple[RangeRow, ...]:
    """All rows with the changes that this box may propose; the same rows if there are none."""
    return tuple(
        _repaired(
            row,
            own=own,
            holds_records=holds_records,
            is_live=is_live,
            has_ended=has_ended,
            replacements=replacements,
            now=now,
        )
        for row in known.rows
    )


def _repaired(
    row: RangeRow,
    *,
    own: BoxIncarnation,
    holds_records: Callable[[int], bool],
    is_live: IncarnationPredicate,
    has_ended: IncarnationPredicate,
    replacements: list[BoxIncarnation],
    now: float,
) -> RangeRow:
    pair = (row.first, row.second)
    if own in pair:
        other = row.second if own == row.first else row.first
        if is_live(other) or not holds_records(row.index):
            return row
        return _replace_peer(
            row, own, [replacement for replacement in replacements if replacement != own]
        )
    if all(has_ended(member) for member in pair) and len(replacements) > 1:
        return _assign_pair(
            row.index, epoch=row.epoch + 1, floor=now + MAX_CLOCK_SKEW_S, members=replacements
        )
    return row


def _replace_peer(
    row: RangeRow, own: BoxIncarnation, replacements: list[BoxIncarnation]
) -> RangeRow:
    if not replacements:
        return row
    by_box = {replacement.box: replacement for replacement in replacements}
    second = by_box[rank(f"range-{row.index}", by_box)[0]]
    return replace(row, epoch=row.epoch + 1, first=own, second=second)
