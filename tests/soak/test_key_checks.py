"""Each promise about keys and limits is found broken where it is."""

from types import SimpleNamespace

import pytest

from croftchute.soak.key_checks import KeyChecks
from croftchute.soak.keys import (
    CLERKS,
    CLERKS_KEY,
    CLERKS_LIMIT,
    CREW,
    KEY_VERSIONS,
    STANDING,
    TERMS,
    CallerKey,
    KeyUse,
    organisations,
    rotating_key,
)
from croftchute.standins.platform_caller import RequestKind, Try
from croftchute.standins.platform_worker import Received
from croftchute.standins.worker_records import Run

LIMITED = CallerKey(key=CLERKS_KEY, use=KeyUse.LIMITED)
UNKNOWN = CallerKey(key="x", use=KeyUse.UNKNOWN)
ACCEPTED_AT = {1: 0.0, 2: 5.0, 3: 8.0, 4: 20.0}


def attempt(name="r1", *, status=200, sent_at=1.0):
    return Try(
        request_id=name,
        kind=RequestKind.ONCE,
        path="/once/1",
        body=b"",
        box="box-1",
        sent_at=sent_at,
        ended_at=sent_at + 0.1,
        status=status,
    )


def run_of(name, started_at):
    return Run(request_id=name, path="/once/1", body=b"", started_at=started_at)


def checks(tries, key, *, ran=(), is_due=lambda _, version: True):
    worker = SimpleNamespace(worker=SimpleNamespace(id="w", received=[]))
    return KeyChecks(
        tries={one.request_id: one for one in tries},
        keys_by_id={one.request_id: key for one in tries},
        runs_by_id={one: [(worker, run_of(one, at))] for one, at in ran},
        accepted_at_by_version=ACCEPTED_AT,
        is_due=is_due,
    )


def always(made, workers=()):
    return {violation.promise for violation in made.always(list(workers))}


def in_time(made):
    return {violation.promise for violation in made.in_time()}


def test_a_run_for_a_key_that_nobody_held_is_found():
    made = checks([attempt()], UNKNOWN, ran=[("r1", 1.0)])
    assert always(made) == {"nothing runs for a key that nobody held"}
    assert always(checks([attempt(status=401)], UNKNOWN)) == set()


@pytest.mark.parametrize("key", [STANDING, LIMITED])
def test_a_refusal_of_a_standing_key_is_found_at_any_time(key):
    assert always(checks([attempt(status=401)], key)) == {"keys in force are not refused"}


def test_a_run_for_a_key_taken_away_is_found_once_that_was_to_be_in_force():
    key = rotating_key(1)
    assert key.gone_version == 1 + KEY_VERSIONS == 4
    made = checks([attempt(sent_at=30.0)], key, ran=[("r1", 30.0)])
    assert in_time(made) == {"keys taken away open nothing"}
    early = checks([attempt()], key, ran=[("r1", 1.0)], is_due=lambda _, version: version < 4)
    assert in_time(early) == set()


def test_a_refusal_of_a_rotating_key_is_found_between_its_coming_and_its_going():
    def refused(sent_at, is_due=True):
        tries = [attempt(status=401, sent_at=sent_at)]
        return in_time(checks(tries, rotating_key(1), is_due=lambda *_: is_due))

    assert refused(3.0) == {"keys in force are not refused"}
    assert refused(3.0, is_due=False) == set()
    assert refused(20.5) == set()


@pytest.mark.parametrize(
    "headers, promise",
    [
        ({"x-croftchute-tenant": CREW, "authorization": "Bearer k"}, "workers see no keys"),
        ({"x-croftchute-tenant": CLERKS}, "workers see the organisation"),
        ({}, "workers see the organisation"),
    ],
)
def test_what_workers_should_not_see_is_found(headers, promise):
    sent = {"x-croftchute-request-id": "r1"} | headers
    received = Received(method="POST", path="/once/1", headers=sent, body=b"")
    worker = SimpleNamespace(worker=SimpleNamespace(id="w", received=[received]))
    assert always(checks([attempt()], STANDING), [worker]) == {promise}


def test_more_than_a_limit_allows_in_any_window_is_found():
    allowed = int(TERMS.allowed(CLERKS_LIMIT))

    def limits(count, spread_s):
        times = [10.0 + spread_s * n / count for n in range(count)]
        tries = [attempt(f"r{n}", sent_at=at) for n, at in enumerate(times)]
        ran = [(f"r{n}", at + 0.01) for n, at in enumerate(times)]
        return always(checks(tries, LIMITED, ran=ran))

    assert limits(allowed, 7.0) == set()
    assert limits(allowed + 1, 7.0) == {"limits over all boxes"}
    assert limits(allowed + 1, 30.0) == set()


def test_keys_rotate_with_the_versions():
    held = [set(organisations(version)[0]["ApiKeys"]) for version in range(1, 7)]
    assert all(STANDING.key in keys for keys in held)
    assert rotating_key(3).key in held[2] & held[3] & held[4]
    assert rotating_key(3).key not in held[5] | held[1]
