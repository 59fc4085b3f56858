"""The whole path over real sockets."""

import json
import uuid

import urllib3

from croftchute.demo.fleet import MODEL
from croftchute.demo.load import LoadSpec, ask, confirm, run_load
from croftchute.ids import new_request_id
from croftchute.standins.tokens import expected_text

HTTP = urllib3.PoolManager(retries=False, timeout=20)
BODY = {"model": MODEL, "prompt": "hello " * 80, "max_tokens": 24, "ignore_eos": True}


def post(port, path, body, **headers):
    raw = body if isinstance(body, bytes) else json.dumps(body)
    sent = {"X-Caller": "c"} | {name.replace("_", "-"): value for name, value in headers.items()}
    return HTTP.request("POST", f"http://127.0.0.1:{port}{path}", body=raw, headers=sent)


def held(fleet):
    alive = [s.engine for s in fleet.engines_by_id.values() if not s.engine.dead.is_set()]
    return [key for engine in alive for key in engine.held_keys]


def test_chat_and_completion_answers_are_whole(fleet):
    port = fleet.http_ports()[0]
    answer = json.loads(post(port, "/v1/completions", BODY).data)
    assert answer["choices"][0]["text"] == expected_text(BODY)
    assert answer["usage"]["completion_tokens"] == 24
    chat = {"model": MODEL, "messages": [{"role": "user", "content": "hi"}], "max_tokens": 5}
    answer = json.loads(post(port, "/v1/chat/completions", chat).data)
    assert answer["choices"][0]["message"]["content"] == expected_text(chat)


def test_models_are_listed(fleet):
    response = HTTP.request("GET", f"http://127.0.0.1:{fleet.http_ports()[1]}/v1/models")
    assert [row["id"] for row in json.loads(response.data)["data"]] == [MODEL]


def test_bad_requests_have_codes_and_are_not_run(fleet):
    port = fleet.http_ports()[0]
    cases = [
        (post(port, "/v1/completions", b"{"), 400, "bad_request"),
        (post(port, "/v1/completions", BODY | {"model": "x"}), 404, "model_unknown"),
        (post(port, "/v1/completions", BODY | {"max_tokens": 0}), 400, "bad_request"),
        (post(port, "/v1/completions", BODY | {"prompt": []}), 400, "bad_request"),
        (post(port, "/v1/completions", BODY, X_Caller=""), 401, "caller_unknown"),
        (post(port, "/v1/completions", BODY, X_Priority="x"), 400, "bad_request"),
        (post(port, "/nothing", BODY), 404, "path_unknown"),
        (post(port, "/v1/completions", b"x" * (1 << 21)), 413, "body_too_large"),
        (post(port, "/desk/confirm", b"s", Idempotency_Key="abc"), 400, "key_invalid"),
    ]
    for response, status, code in cases:
        assert (response.status, response.headers["X-Croftchute-Code"]) == (status, code)
        assert response.headers["X-Croftchute-Run"] == "not_run"
        assert json.loads(response.data)["error"]["run"] == "not_run"


def test_an_engine_that_dies_midway_costs_no_token(fleet):
    for name in ("north-decode-1", "north-decode-2"):
        fleet.engines_by_id[name].engine.faults.die_after_tokens = 7
    outcome = ask(fleet.http_ports()[0], BODY | {"stream": True, "max_tokens": 12}, caller="c")
    assert (outcome.wrong, outcome.tokens) == ("", 12)


def test_a_whole_answer_is_collected_over_an_engine_that_dies_midway(fleet):
    """Tokens that had come before the break were counted as delivered but left out."""
    for name in ("north-decode-1", "north-decode-2"):
        fleet.engines_by_id[name].engine.faults.die_after_tokens = 7
    outcome = ask(fleet.http_ports()[0], BODY | {"max_tokens": 12}, caller="c")
    assert (outcome.wrong, outcome.tokens) == ("", 12)


def test_memory_is_free_after_callers_leave(fleet):
    spec = LoadSpec(seed=3, model=MODEL, requests=30, cancel_share=1.0, stream_share=1.0)
    result = run_load(spec, fleet.http_ports())
    assert not result.wrong
    fleet.wait_until(lambda: not held(fleet), "memory free", 3.0)


def test_a_call_runs_once_over_two_boxes_and_a_lost_answer(fleet):
    key = str(uuid.UUID(new_request_id()))
    fleet.services_by_hall["north"].faults.lose_replies = 1
    first = confirm(fleet.http_ports()[0], "slot 1", key=key)
    assert (first.status, first.ran) == (502, "unknown")
    again = confirm(fleet.http_ports()[3], "slot 1", key=key)
    assert (again.status, again.ran) == (409, "unknown")
    runs = sum(s.runs_by_subject["slot 1"] for s in fleet.services_by_hall.values())
    assert runs == 1


def test_an_answer_that_was_delivered_is_not_given_again(fleet):
    key = str(uuid.UUID(new_request_id()))
    assert confirm(fleet.http_ports()[0], "slot 2", key=key).status == 200
    again = confirm(fleet.http_ports()[1], "slot 2", key=key)
    assert (again.status, again.ran) == (409, "ran")
