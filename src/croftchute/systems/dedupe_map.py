"""Which pair of boxes keeps each key range: the first map, and the replacement of lost members.

A range is only ever moved by a member that holds all its records, or, when both members are
known to have ended, under a floor that makes all earlier keys unknown. A box that is merely
silent has not ended: it may be cut off and still serve its callers.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace

from croftchute.systems.rendezvous import rank_nodes
from croftchute.tables.dedupe import RANGES, Member, RangeMap, RangeRow

CLOCK_SKEW_S = 5.0

Predicate = Callable[[Member], bool]


def first_rows(members_by_hall: Mapping[str, Iterable[Member]]) -> tuple[RangeRow, ...]:
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
        _row(index, epoch=1, floor=0.0, members=pairs[index % len(pairs)])
        for index in range(RANGES)
    )


def _row(index: int, *, epoch: int, floor: float, members: list[Member]) -> RangeRow:
    member_by_box = {member.box: member for member in members}
    first, second = rank_nodes(f"range-{index}", member_by_box)[:2]
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
    own: Member,
    holds: Callable[[int], bool],
    is_live: Predicate,
    has_ended: Predicate,
    spares: list[Member],
    now: float,
) -> tuple[RangeRow, ...]:
    """All rows with the changes that this box may propose; the same rows if there are none."""
    return tuple(
        _repaired(
            row,
            own=own,
            holds=holds,
            is_live=is_live,
            has_ended=has_ended,
            spares=spares,
            now=now,
        )
        for row in known.rows
    )


def _repaired(
    row: RangeRow,
    *,
    own: Member,
    holds: Callable[[int], bool],
    is_live: Predicate,
    has_ended: Predicate,
    spares: list[Member],
    now: float,
) -> RangeRow:
    pair = (row.first, row.second)
    if own in pair:
        other = row.second if own == row.first else row.first
        if is_live(other) or not holds(row.index):
            return row
        return _with_survivor(row, own, [spare for spare in spares if spare != own])
    if all(has_ended(member) for member in pair) and len(spares) > 1:
        return _row(row.index, epoch=row.epoch + 1, floor=now + CLOCK_SKEW_S, members=spares)
    return row


def _with_survivor(row: RangeRow, own: Member, spares: list[Member]) -> RangeRow:
    if not spares:
        return row
    by_box = {spare.box: spare for spare in spares}
    second = by_box[rank_nodes(f"range-{row.index}", by_box)[0]]
    return replace(row, epoch=row.epoch + 1, first=own, second=second)
