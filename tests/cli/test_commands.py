import json
import sys
from pathlib import Path

import pytest

from croftchute.cli.main import main
from croftchute.errors import CroftchuteError, PolicyError
from croftchute.policies.starlark_policy import compile_policy

EXAMPLES = Path(__file__).parents[2] / "examples"
GOOD_POLICY = "def order(request, candidates):\n    return [c['id'] for c in candidates[::-1]]\n"


def croftchute(monkeypatch, *words):
    monkeypatch.setattr(sys, "argv", ["croftchute", *words])
    try:
        main()
    except SystemExit as ended:
        return ended.code
    return 0


@pytest.mark.parametrize("name", ["dakar", "oberbayern"])
def test_the_examples_pass_the_check(monkeypatch, capsys, name):
    assert croftchute(monkeypatch, "config", "check", str(EXAMPLES / f"{name}.json")) == 0
    assert "ok: True" in capsys.readouterr().out


def test_a_broken_configuration_fails_with_path_and_code(monkeypatch, capsys, tmp_path):
    broken = json.loads((EXAMPLES / "dakar.json").read_text())
    broken["pools"][0]["engines"][0]["slots"] = 0
    path = tmp_path / "broken.json"
    path.write_text(json.dumps(broken))
    assert croftchute(monkeypatch, "config", "check", str(path)) == 3
    assert "$.pools[0].engines[0].slots" in capsys.readouterr().err


def test_a_policy_is_checked_and_tried(monkeypatch, capsys, tmp_path):
    path = tmp_path / "p.star"
    path.write_text(GOOD_POLICY)
    candidates = json.dumps([{"id": "a"}, {"id": "b"}])
    words = ("policy", "try", str(path), "--request", "{}", "--candidates", candidates)
    assert croftchute(monkeypatch, *words) == 0
    assert "['b', 'a']" in capsys.readouterr().out
    path.write_text("def order(request, candidates)\n  return []")
    assert croftchute(monkeypatch, "policy", "check", str(path)) == 4
    assert "p.star:1" in capsys.readouterr().err


def test_status_and_timeline_of_a_fleet(monkeypatch, capsys, fleet):
    admin = next(iter(fleet.boxes_by_id.values())).admin.port
    boxes = f"127.0.0.1:{admin}"
    assert croftchute(monkeypatch, "status", "--boxes", boxes, "--json") == 0
    rows = json.loads(capsys.readouterr().out)
    assert len(rows) == 4
    assert {row["revision"] for row in rows} == {rows[0]["revision"]}
    wait = ("config", "wait", str(rows[0]["revision"]), "--boxes", boxes)
    assert croftchute(monkeypatch, *wait) == 0
    assert croftchute(monkeypatch, "timeline", "--boxes", boxes) == 0
    assert "config_applied" in capsys.readouterr().out


@pytest.mark.parametrize(
    "source",
    [
        "def order(request, candidates):\n  return 7\n",
        "def order(request, candidates):\n  return ['other']\n",
        "def order(request, candidates):\n  return candidates[9]['id']\n",
    ],
)
def test_a_policy_that_fails_raises_a_typed_error(source):
    policy = compile_policy("p", source)
    with pytest.raises(PolicyError):
        policy.order({}, [{"id": "a"}])


@pytest.mark.parametrize(
    "source", ["x = 1", "while True: pass", "def order(r, c): return range(9)"]
)
def test_a_policy_that_is_no_policy_is_refused(source):
    with pytest.raises(CroftchuteError):
        compile_policy("p", source)


def test_the_account_of_a_log_is_printed(monkeypatch, capsys, tmp_path):
    path = tmp_path / "box.log"
    path.write_text(
        '{"at":"2026-12-02T10:00:00.000+00:00","box":"b","event":"request_refused",'
        '"request_id":"r1","outcome":"no_capacity","route":"survey","elapsed_ms":400}\n'
    )
    assert croftchute(monkeypatch, "account", str(path)) == 0
    assert "refused: no_capacity" in capsys.readouterr().out


def test_a_log_that_cannot_be_read_is_named(monkeypatch, capsys, tmp_path):
    assert croftchute(monkeypatch, "account", str(tmp_path / "none.log")) == 2
    assert "none.log" in capsys.readouterr().err
