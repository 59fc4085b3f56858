"""The map of key ranges to pairs of boxes: its first version, and replacement of lost members.

A range is reassigned only by a member that has all its records. If both members are known to have
ended, it is reassigned without records and with a floor, the time of the change plus the tolerated
clock skew: the outcome of calls whose keys were created before the floor is unknown. A silent
box has not necessarily ended; it may be partitioned and still serve its callers.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace

from croftchute.systems.rendezvous import rank_nodes
from croftchute.tables.dedupe import RANGES, BoxIncarnation, RangeMap, RangeRow

MAX_CLOCK_SKEW_S = 5.0

IncarnationPredicate = Callable[[BoxIncarnation], bool]


def initial_rows(members_by_hall: Mapping[str, Iterable[BoxIncarnation]]) -> tuple[RangeRow, ...]:
    """Return the rows for an empty store, or () if there are fewer than two boxes.

    Ranges are distributed over the halls with at least two boxes, and each is assigned a pair of
    boxes of its hall; if no hall has two, pairs are formed across halls. No floor is needed,
    since no call can have run before the first map.
    """
    groups = {hall: list(members) for hall, members in sorted(members_by_hall.items())}
    candidate_groups = [group for group in groups.values() if len(group) > 1]
    if not candidate_groups:
        all_members = [member for group in groups.values() for member in group]
        candidate_groups = [all_members] if len(all_members) > 1 else []
    if not candidate_groups:
        return ()
    return tuple(
        _assign_pair(
            index, epoch=1, floor=0.0, members=candidate_groups[index % len(candidate_groups)]
        )
        for index in range(RANGES)
    )


def _assign_pair(
    index: int, *, epoch: int, floor: float, members: list[BoxIncarnation]
) -> RangeRow:
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


def repair_rows(
    range_map: RangeMap,
    *,
    own: BoxIncarnation,
    holds_records: Callable[[int], bool],
    is_live: IncarnationPredicate,
    has_ended: IncarnationPredicate,
    replacements: list[BoxIncarnation],
    now: float,
) -> tuple[RangeRow, ...]:
    """Return all rows, including the changes that this box may propose, if any."""
    return tuple(
        _repair_row(
            row,
            own=own,
            holds_records=holds_records,
            is_live=is_live,
            has_ended=has_ended,
            replacements=replacements,
            now=now,
        )
        for row in range_map.rows
    )


def _repair_row(
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
    second = by_box[rank_nodes(f"range-{row.index}", by_box)[0]]
    return replace(row, epoch=row.epoch + 1, first=own, second=second)
