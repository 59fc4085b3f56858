"""Imports within the forwarding core run one way, so that each folder can be read by itself."""

import re
from pathlib import Path

import pytest

import croftchute.forwarding

ROOT = Path(croftchute.forwarding.__file__).parent
SHARED = "shared"
ORDER = ("http", SHARED, "workers", "boxes", "store", "callers")
IMPORT = re.compile(r"croftchute\.forwarding\.([\w.]+) import")


def layer(parts):
    return parts[0] if len(parts) > 1 else SHARED


@pytest.mark.parametrize("path", sorted(ROOT.rglob("*.py")), ids=lambda p: str(p.relative_to(ROOT)))
def test_a_module_imports_nothing_of_a_later_layer(path):
    own = ORDER.index(layer(path.relative_to(ROOT).parts))
    imported = IMPORT.findall(path.read_text())
    later = [name for name in imported if ORDER.index(layer(name.split("."))) > own]
    assert later == []
