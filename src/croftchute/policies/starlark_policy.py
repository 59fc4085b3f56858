"""Operators' policies in Starlark: compiled once, called with a short list of candidates.

A policy defines ``order(request, candidates)`` and returns the ids of the candidates that may
be used, best first; an empty list refuses the request. Starlark has no ``while``, no recursion
and no clock or I/O, so a policy is deterministic; its loops are bounded by its candidates.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

import starlark

from croftchute.errors import Code, PolicyError

ENTRY_FUNCTION = "order"
MAX_SOURCE_BYTES = 16384
RANGE_UNAVAILABLE_MESSAGE = "policies loop over their candidates; range() is not available"

PolicyValue = str | int | float | bool
PolicyRecord = Mapping[str, PolicyValue]


class CompiledPolicy:
    """A policy ready to call; made by :func:`compile_policy`."""

    def __init__(self, *, name: str, module: Any) -> None:
        self.name = name
        self._module = module

    def __repr__(self) -> str:
        return f"CompiledPolicy(name={self.name!r})"

    def order(self, request: PolicyRecord, candidates: Sequence[PolicyRecord]) -> tuple[str, ...]:
        """Ids of the usable candidates, best first; raises :class:`PolicyError` on failure."""
        known = {str(candidate["id"]) for candidate in candidates}
        try:
            result = self._module.call(
                ENTRY_FUNCTION, dict(request), [dict(candidate) for candidate in candidates]
            )
        except (starlark.StarlarkError, ValueError, TypeError) as error:
            raise PolicyError(Code.POLICY_INVALID, f"policy {self.name!r}: {error}") from None
        if not isinstance(result, list) or not all(entry in known for entry in result):
            message = f"policy {self.name!r} returned no list of candidate ids: {result!r:.80}"
            raise PolicyError(Code.POLICY_INVALID, message)
        return tuple(dict.fromkeys(result))


def compile_policy(name: str, source: str) -> CompiledPolicy:
    """Parse a policy; raises :class:`PolicyError` with line and column when it is invalid."""
    if len(source.encode()) > MAX_SOURCE_BYTES:
        message = f"{name}: longer than {MAX_SOURCE_BYTES} bytes"
        raise PolicyError(Code.POLICY_INVALID, message)
    if "range(" in source:
        raise PolicyError(Code.POLICY_INVALID, f"{name}: {RANGE_UNAVAILABLE_MESSAGE}")
    module = starlark.Module()
    try:
        starlark.eval(module, starlark.parse(name, source), starlark.Globals.standard())
        frozen = module.freeze()
    except starlark.StarlarkError as error:
        raise PolicyError(Code.POLICY_INVALID, str(error)) from None
    if f"def {ENTRY_FUNCTION}(" not in source:
        raise PolicyError(Code.POLICY_INVALID, f"{name}:1:1: defines no {ENTRY_FUNCTION}()")
    return CompiledPolicy(name=name, module=frozen)
