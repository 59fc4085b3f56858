"""Reading completion requests, and writing whole answers and refusals."""

from __future__ import annotations

import json
import math
from collections.abc import Iterable
from typing import Any

import msgspec

from croftchute.errors import Code, CroftchuteError, Ran, RequestError
from croftchute.gateway.headers import CODE_HEADER, RAN_HEADER, REQUEST_HEADER, Identity
from croftchute.gateway.prompts import prefix_blocks, prompt_tokens
from croftchute.httpd import StartResponse, reply
from croftchute.tables.requests import Request
from croftchute.tables.upstreams import Topology

CHAT_PATH = "/v1/chat/completions"
DEFAULT_MAX_TOKENS = 256
DATA = b"data: "

VALUE_MARKS = (b",", b"[", b"{")
"""Bytes of which at least one stands before each value of a JSON document, the first one aside."""

VALUE_BYTES = 64
"""What a small value takes as an object, with its place in its list."""

DONE = b"data: [DONE]"


def parsed_bytes(raw: bytes) -> int:
    """Most bytes that the values of a JSON document take beside their text.

    >>> parsed_bytes(b'{"prompt": [1, 2, 3]}')
    320
    """
    return VALUE_BYTES * (1 + sum(raw.count(mark) for mark in VALUE_MARKS))


def parse_body(raw: bytes) -> dict[str, Any]:
    """A JSON object; raises :class:`RequestError` for anything else."""
    try:
        body = msgspec.json.decode(raw)
    except msgspec.DecodeError as error:
        raise RequestError(Code.BAD_REQUEST, f"body is no JSON: {error}") from None
    except RecursionError:
        raise RequestError(Code.BAD_REQUEST, "body is nested too deeply") from None
    if not isinstance(body, dict):
        raise RequestError(Code.BAD_REQUEST, "body is no JSON object")
    return body


def read_request(
    body: dict[str, Any],
    *,
    path: str,
    request_id: str,
    identity: Identity,
    topology: Topology,
    now: float,
    digest: str = "",
) -> Request:
    """The row for a completion request; raises :class:`RequestError` naming what is wrong."""
    if not topology.revision:
        raise RequestError(Code.NO_CONFIG, "no configuration is in force yet")
    model = topology.models_by_id.get(str(body.get("model", "")))
    if model is None:
        raise RequestError(Code.MODEL_UNKNOWN, f"model {str(body.get('model'))[:80]!r} is unknown")
    field = "messages" if path == CHAT_PATH else "prompt"
    prompt = body.get(field)
    if not isinstance(prompt, list if field == "messages" else (str, list)) or not prompt:
        raise RequestError(Code.BAD_REQUEST, f"{field} is missing, empty or of a wrong type")
    tokens = prompt_tokens(prompt)
    if tokens > model.max_prompt_tokens:
        message = f"prompt of {tokens} tokens, {model.max_prompt_tokens} are allowed"
        raise RequestError(Code.BAD_REQUEST, message)
    limit = body.get("max_tokens", min(DEFAULT_MAX_TOKENS, model.max_output_tokens))
    if not isinstance(limit, int) or not 1 <= limit <= model.max_output_tokens:
        message = f"max_tokens {limit!r} is not 1 to {model.max_output_tokens}"
        raise RequestError(Code.BAD_REQUEST, message)
    body["max_tokens"] = limit
    return Request(
        id=request_id,
        caller=identity.caller,
        model=model.id,
        prompt_tokens=tokens,
        max_tokens=limit,
        priority=identity.priority,
        arrived_at=now,
        deadline_at=now + identity.deadline_s,
        prefix=prefix_blocks(prompt),
        digest=digest,
    )


def whole_answer(events: Iterable[bytes], *, chat: bool, prompt_tokens: int) -> bytes:
    """One JSON answer from a stream of server-sent events."""
    parts: list[str] = []
    head: dict[str, Any] = {}
    finish = None
    for piece in events:
        for event in piece.split(b"\n\n"):
            if not event.startswith(DATA) or event == DONE:
                continue
            head = msgspec.json.decode(event[len(DATA) :])
            choice = head["choices"][0]
            parts.append((choice["delta"].get("content") or "") if chat else choice["text"])
            finish = choice.get("finish_reason") or finish
    text = "".join(parts)
    content: dict[str, Any] = {"index": 0, "finish_reason": finish}
    content.update({"message": {"role": "assistant", "content": text}} if chat else {"text": text})
    answer = {
        "id": head.get("id", ""),
        "object": "chat.completion" if chat else "text_completion",
        "model": head.get("model", ""),
        "choices": [content],
        "usage": {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": len(parts),
            "total_tokens": prompt_tokens + len(parts),
        },
    }
    return msgspec.json.encode(answer)


def error_body(error: CroftchuteError, ran: Ran, request_id: str) -> bytes:
    """The body of a refusal."""
    detail = {
        "message": error.message,
        "type": "croftchute_error",
        "code": error.code.value,
        "run": ran.value,
        "request_id": request_id,
    }
    return json.dumps({"error": detail}).encode()


def refuse(
    start_response: StartResponse,
    error: CroftchuteError,
    *,
    ran: Ran,
    request_id: str,
    retry_after_s: float = 0.0,
) -> list[bytes]:
    """A refusal as a whole response; ``Retry-After`` is in whole seconds, rounded up."""
    headers = {
        RAN_HEADER: ran.value,
        CODE_HEADER: error.code.value,
        REQUEST_HEADER: request_id,
    }
    if retry_after_s > 0:
        headers["Retry-After"] = str(math.ceil(retry_after_s))
    body = error_body(error, ran, request_id)
    return reply(start_response, error.http_status, body, headers=headers)
