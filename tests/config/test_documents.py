from pathlib import Path

import pytest

from croftchute.config.checks import dump_document, parse_document
from croftchute.config.schema import SCHEMA_PATH, schema_text
from croftchute.errors import Code, DocumentError

EXAMPLES = sorted((Path(__file__).parents[2] / "examples").glob("*.json"))


def test_the_committed_schema_is_that_of_the_types():
    assert SCHEMA_PATH.read_text() == schema_text()


def test_there_are_examples_of_both_users():
    assert [path.stem for path in EXAMPLES] == ["dakar", "oberbayern"]


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.stem)
def test_an_example_is_accepted_and_survives_writing(path):
    document = parse_document(path.read_bytes())
    assert parse_document(dump_document(document)) == document


def test_all_faults_are_listed_by_path():
    broken = """{"halls": [{"id": "a", "region": "r"}, {"id": "a", "region": "r"}],
      "models": [{"id": "m", "versions": [{"id": "v1"}], "active_version": "v2"}],
      "pools": [{"id": "p", "models": ["x"], "engines": []}]}"""
    with pytest.raises(DocumentError) as caught:
        parse_document(broken)
    paths = [fault.path for fault in caught.value.faults]
    assert paths == ["$.halls[1]", "$.pools[0].models[0]", "$.models[0].active_version"]


def test_unknown_keys_and_wrong_types_are_faults():
    with pytest.raises(DocumentError) as caught:
        parse_document('{"halls": [{"id": "a", "region": "r", "colour": 1}], "pools": 3}')
    paths = [fault.path for fault in caught.value.faults]
    assert paths == ["$.halls[0].colour", "$.pools"]
    assert caught.value.code is Code.CONFIG_INVALID


def test_a_broken_policy_is_refused_with_line_and_column():
    source = "def order(request, candidates):\\n  return nothing\\n"
    policies = f'[{{"id": "p", "source": "{source}"}}]'
    raw = f'{{"halls": [{{"id": "a", "region": "r"}}], "policies": {policies}}}'
    with pytest.raises(DocumentError) as caught:
        parse_document(raw)
    (fault,) = caught.value.faults
    assert fault.code is Code.POLICY_INVALID
    assert "p:2:10" in fault.message
