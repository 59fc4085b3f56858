"""Renders the settings template of the deploy file, as the platform does at each start.

Only the parts of the template language that DEPLOY.md names are read: values, values as JSON,
sections over a list or a present value, inverted sections, and the comma between entries.
"""

from __future__ import annotations

import json
import re
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]

GAP = re.compile(r"\{\{([#^/]?)\s*([^}|]+?)\s*(\|json)?\}\}")

BOUNDS: dict[str, Any] = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "ContactMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "DowngradeMs": 250,
    "MaxSkewMs": 5000,
    "RetryRatio": 0.2,
    "RetryWindowS": 10,
    "RetrySlack": 56,
    "RecoveryS": 12,
    "TransitMs": 120,
    "RetryAfterS": 5.6,
    "FencingRequired": False,
    "LeaseMs": 3000,
    "ThawMs": 300,
}
"""The bounds of the example under "Settings of a process" in DEPLOY.md (aspf-resa)."""

CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "split",
    "stream",
    "engine",
    "platform",
]


def deploy_role() -> dict[str, Any]:
    """Return the first role of deploy/system.toml."""
    document = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    role: dict[str, Any] = next(iter(document["roles"].values()))
    return role


def render(fields: dict[str, Any]) -> str:
    """Return the settings file of one process."""
    template = (ROOT / deploy_role()["template"]).read_text()
    return _render(template, [fields], last=True)


def _render(text: str, scopes: list[Any], *, last: bool, key: Any = "") -> str:
    out: list[str] = []
    at = 0
    while (found := GAP.search(text, at)) is not None:
        out.append(text[at : found.start()])
        kind, name, is_json = found.groups()
        if kind in ("#", "^"):
            end = text.index("{{/" + name + "}}", found.end())
            inner = text[found.end() : end]
            at = end + len("{{/" + name + "}}")
            out.append(_section(kind, name, inner, scopes))
            continue
        at = found.end()
        if name == ",":
            out.append("" if last else ",")
        elif name == "@":
            out.append(str(key))
        else:
            out.append(_shown(_look_up(name, scopes), is_json=bool(is_json)))
    out.append(text[at:])
    return "".join(out)


def _section(kind: str, name: str, inner: str, scopes: list[Any]) -> str:
    value = _look_up(name, scopes)
    if kind == "^":
        return "" if value else _render(inner, scopes, last=True)
    if value is None or value is False:
        return ""
    if isinstance(value, dict):
        entries = list(value.items())
    elif isinstance(value, list):
        entries = list(enumerate(value))
    else:
        return _render(inner, scopes, last=True)
    parts = [
        _render(inner, [*scopes, entry], last=number == len(entries) - 1, key=key)
        for number, (key, entry) in enumerate(entries)
    ]
    return "".join(parts)


def _look_up(name: str, scopes: list[Any]) -> Any:
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict):
                value = value.get(part)
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
            if value is None:
                break
        if value is not None:
            return value
    return None


def _shown(value: Any, *, is_json: bool) -> str:
    if is_json:
        return json.dumps(value)
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(str(entry) for entry in value)
    return json.dumps(value) if isinstance(value, bool | dict) else str(value)
