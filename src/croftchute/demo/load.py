"""Seeded callers for the demonstration and the tests: they check every answer they get."""

from __future__ import annotations

import json
import random
import threading
import time
from dataclasses import dataclass, field
from typing import Any

import urllib3

from croftchute.gateway.headers import RAN_HEADER, REQUEST_HEADER
from croftchute.standins.tokens import digest_of, expected_text, output_length, token_text

TIMEOUT_S = 20.0
HTTP_OK = 200
DATA = b"data: "
DONE = b"[DONE]"


@dataclass(kw_only=True)
class Outcome:
    """What one caller saw."""

    request_id: str = ""
    status: int = 0
    ran: str = ""
    cancelled: bool = False
    wrong: str = ""
    tokens: int = 0
    ttft_s: float = 0.0
    per_token_s: float = 0.0
    detail: str = ""


@dataclass(frozen=True, kw_only=True)
class LoadSpec:
    """A mix of requests, made from a seed."""

    seed: int
    model: str
    requests: int
    prompt_words: tuple[int, int] = (4, 400)
    max_tokens: tuple[int, int] = (4, 40)
    stream_share: float = 0.7
    cancel_share: float = 0.1
    callers: int = 5


@dataclass(kw_only=True)
class LoadResult:
    """All outcomes of a run."""

    outcomes: list[Outcome] = field(default_factory=list)

    @property
    def answered(self) -> list[Outcome]:
        """Those that got a whole answer."""
        return [o for o in self.outcomes if o.status == HTTP_OK and not o.cancelled]

    @property
    def wrong(self) -> list[Outcome]:
        """Those that got something else than their own whole answer."""
        return [o for o in self.outcomes if o.wrong]


def bodies(spec: LoadSpec) -> list[tuple[dict[str, Any], bool]]:
    """Request bodies, and whether their caller hangs up midway."""
    rng = random.Random(spec.seed)
    made = []
    for n in range(spec.requests):
        words = rng.randint(*spec.prompt_words)
        prompt = f"request {n} " + " ".join(str(rng.randrange(1000)) for _ in range(words))
        body: dict[str, Any] = {
            "model": spec.model,
            "prompt": prompt,
            "max_tokens": rng.randint(*spec.max_tokens),
            "ignore_eos": True,
            "stream": rng.random() < spec.stream_share,
        }
        made.append((body, body["stream"] and rng.random() < spec.cancel_share))
    return made


def ask(port: int, body: dict[str, Any], *, caller: str, cancel: bool = False) -> Outcome:
    """Send one request and check what comes back."""
    outcome = Outcome(cancelled=cancel)
    pool = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)
    started = time.monotonic()
    try:
        response = pool.request(
            "POST",
            f"http://127.0.0.1:{port}/v1/completions",
            body=json.dumps(body),
            headers={"X-Caller": caller, "Content-Type": "application/json"},
            preload_content=False,
        )
        outcome.status = response.status
        outcome.request_id = response.headers.get(REQUEST_HEADER, "")
        outcome.ran = response.headers.get(RAN_HEADER, "")
        if response.status != HTTP_OK:
            outcome.detail = response.read().decode()
        elif body.get("stream"):
            _check_stream(response, body, outcome, started)
        else:
            text = json.loads(response.read())["choices"][0]["text"]
            outcome.tokens = text.count(" ")
            if text != expected_text(body):
                outcome.wrong = f"text differs: {text[:60]!r}"
    except urllib3.exceptions.HTTPError as error:
        outcome.wrong = f"connection: {error}"
    finally:
        pool.clear()
    return outcome


def _check_stream(
    response: urllib3.BaseHTTPResponse, body: dict[str, Any], outcome: Outcome, started: float
) -> None:
    digest = digest_of(body["prompt"])
    length = output_length(body, digest)
    pending = b""
    first_at = last_at = started
    while piece := response.read1(65536):
        pending += piece
        *events, pending = pending.split(b"\n\n")
        for event in events:
            if not event.startswith(DATA):
                outcome.wrong = f"error event {event[:200]!r}"
                continue
            payload = event[len(DATA) :]
            if payload == DONE:
                continue
            last_at = time.monotonic()
            first_at = last_at if not outcome.tokens else first_at
            text = json.loads(payload)["choices"][0]["text"]
            if text != token_text(digest, outcome.tokens):
                outcome.wrong = f"token {outcome.tokens} is {text!r}"
            outcome.tokens += 1
        if outcome.cancelled and outcome.tokens >= max(1, length // 2):
            response.close()
            return
    outcome.ttft_s = first_at - started
    if outcome.tokens > 1:
        outcome.per_token_s = (last_at - first_at) / (outcome.tokens - 1)
    if outcome.tokens != length and not outcome.wrong:
        outcome.wrong = f"{outcome.tokens} of {length} tokens"


def run_load(spec: LoadSpec, ports: list[int], *, threads: int = 16) -> LoadResult:
    """Send all requests of a mix, a number of them at a time, over all ports."""
    work = list(enumerate(bodies(spec)))
    result = LoadResult()
    lock = threading.Lock()

    def serve() -> None:
        while True:
            with lock:
                if not work:
                    return
                n, (body, cancel) = work.pop()
            outcome = ask(
                ports[n % len(ports)], body, caller=f"caller-{n % spec.callers}", cancel=cancel
            )
            with lock:
                result.outcomes.append(outcome)

    workers = [threading.Thread(target=serve, daemon=True) for _ in range(threads)]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    return result


def confirm(port: int, subject: str, *, key: str) -> Outcome:
    """Make a non-repeatable call."""
    pool = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)
    outcome = Outcome()
    try:
        response = pool.request(
            "POST",
            f"http://127.0.0.1:{port}/desk/confirm",
            body=subject,
            headers={"X-Caller": "desk", "Idempotency-Key": key},
        )
        outcome.status = response.status
        outcome.ran = response.headers.get(RAN_HEADER, "")
        outcome.detail = response.data.decode()
    except urllib3.exceptions.HTTPError as error:
        outcome.wrong = str(error)
    finally:
        pool.clear()
    return outcome
