"""Base class of rows that change often: frozen, but created and copied in C.

With data classes, ``dataclasses.replace`` took two thirds of the time of a placement decision;
see docs/DESIGN.md.
"""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

R = TypeVar("R", bound="Row")


class Row(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """A frozen record with keyword-only construction."""


def changed(row: R, **changes: Any) -> R:
    """Return a copy of a row with some fields changed.

    >>> class Point(Row, frozen=True, kw_only=True):
    ...     x: int = 0
    >>> changed(Point(), x=2).x
    2
    """
    return msgspec.structs.replace(row, **changes)
