"""The JSON Schema of the configuration document, generated from its types."""

from __future__ import annotations

import json
from pathlib import Path

from pydantic import TypeAdapter

from croftchute.config.documents import Document

SCHEMA_PATH = Path(__file__).with_name("schema.json")


def schema_text() -> str:
    """The schema as it has to stand in ``schema.json``."""
    return json.dumps(TypeAdapter(Document).json_schema(), indent=2, sort_keys=True) + "\n"


def main() -> None:
    """Write the schema next to this module."""
    SCHEMA_PATH.write_text(schema_text(), encoding="utf-8")


if __name__ == "__main__":
    main()
