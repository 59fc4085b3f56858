"""Submissions over the real adapter against the platform stand-in."""

from dataclasses import replace
from pathlib import Path

import pytest

from croftchute.config.checks import parse_document
from croftchute.config.submit import current, history, submit
from croftchute.errors import Code, ConflictError, StoreError
from croftchute.standins.platform import PlatformServer
from croftchute.storage.etcd import EtcdStore

DAKAR = parse_document((Path(__file__).parents[2] / "examples" / "dakar.json").read_bytes())
OTHER = replace(DAKAR, targets=replace(DAKAR.targets, ttft_s=0.5))


@pytest.fixture
def platform():
    server = PlatformServer()
    yield server
    server.stop()


@pytest.fixture
def store(platform):
    return EtcdStore(urls=[platform.url])


def test_a_submission_is_kept_and_the_one_before_it_too(store):
    first = submit(store, DAKAR, change_id="one")
    second = submit(store, OTHER, change_id="two")
    assert second.revision > first.revision
    assert [version.change_id for version in history(store)] == ["two", "one"]


def test_of_two_racing_operators_one_is_told_what_won(store):
    base = submit(store, DAKAR, change_id="base")
    won = submit(store, OTHER, change_id="won", expected=base.revision)
    with pytest.raises(ConflictError) as caught:
        submit(store, DAKAR, change_id="lost", expected=base.revision)
    assert caught.value.revision == won.revision
    assert caught.value.paths == ("$.targets.ttft_s",)
    assert current(store).change_id == "won"


def test_a_write_whose_answer_is_lost_is_found_to_have_taken_effect(platform, store):
    platform.faults.lose_write_replies = 1
    accepted = submit(store, DAKAR, change_id="lost-answer")
    assert current(store).revision == accepted.revision


def test_a_store_that_is_down_is_a_typed_error(platform, store):
    platform.faults.down = True
    with pytest.raises(StoreError) as caught:
        submit(store, DAKAR, change_id="x")
    assert caught.value.code is Code.STORE_UNAVAILABLE


def test_the_stand_in_counts_and_limits_calls():
    server = PlatformServer(reads_per_s=3)
    try:
        store = EtcdStore(urls=[server.url])
        with pytest.raises(StoreError) as caught:
            for _ in range(4):
                store.get("k")
        assert caught.value.code is Code.STORE_RATE_LIMITED
        assert server.calls["read"] == 4
    finally:
        server.stop()
