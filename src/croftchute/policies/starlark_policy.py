"""Operators' policies in Starlark, compiled once and called with a short list of candidates.

A policy defines ``order(request, candidates)``, which returns the ids of the usable candidates,
best first. An empty list refuses the request. Starlark has no ``while``, recursion, clock or I/O,
so a policy is deterministic, and its candidates bound its loops.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

import starlark

from croftchute.errors import Code, PolicyError

ENTRY_FUNCTION = "order"
MAX_SOURCE_BYTES = 16384
RANGE_UNAVAILABLE_MESSAGE = "range() is not available in policies; loop over the candidates instead"

PolicyValue = str | int | float | bool
PolicyRecord = Mapping[str, PolicyValue]


class CompiledPolicy:
    """A compiled policy; created by :func:`compile_policy`."""

    def __init__(self, *, name: str, module: Any) -> None:
        self.name = name
        self._module = module

    def __repr__(self) -> str:
        return f"CompiledPolicy(name={self.name!r})"

    def order(self, request: PolicyRecord, candidates: Sequence[PolicyRecord]) -> tuple[str, ...]:
        """Return the ids of the usable candidates, best first.

        Raise :class:`PolicyError` if the policy fails or returns anything but a list of ids.
        """
        known = {str(candidate["id"]) for candidate in candidates}
        try:
            result = self._module.call(
                ENTRY_FUNCTION, dict(request), [dict(candidate) for candidate in candidates]
            )
        except (starlark.StarlarkError, ValueError, TypeError) as error:
            raise PolicyError(Code.POLICY_INVALID, f"policy {self.name!r}: {error}") from None
        if not isinstance(result, list) or not all(entry in known for entry in result):
            message = (
                f"policy {self.name!r} did not return a list of known candidate ids: {result!r:.80}"
            )
            raise PolicyError(Code.POLICY_INVALID, message)
        return tuple(dict.fromkeys(result))


def compile_policy(name: str, source: str) -> CompiledPolicy:
    """Compile a policy; raise :class:`PolicyError`, if possible with line and column."""
    if len(source.encode()) > MAX_SOURCE_BYTES:
        message = f"{name}: source is longer than {MAX_SOURCE_BYTES} bytes"
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
