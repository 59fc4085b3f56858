"""The answers that engine stand-ins give: a function of the prompt, so that all can be checked."""

from __future__ import annotations

import json
from typing import Any

import xxhash

CHARS_PER_TOKEN = 4
NATURAL_LENGTHS = 64


def prompt_of(body: dict[str, Any]) -> Any:
    """The prompt or the messages of a request body."""
    return body["messages"] if "messages" in body else body["prompt"]


def digest_of(prompt: Any) -> int:
    """A number that stands for the prompt."""
    return int(xxhash.xxh3_64_intdigest(json.dumps(prompt, sort_keys=True).encode()))


def token_text(digest: int, index: int) -> str:
    """The output token at an index."""
    return f" t{(digest + index * 7919) % 100003}"


def output_length(body: dict[str, Any], digest: int) -> int:
    """How many tokens the answer has in all."""
    limit = int(body.get("max_tokens", 16))
    if body.get("ignore_eos"):
        return limit
    return min(limit, 1 + digest % NATURAL_LENGTHS)


def expected_text(body: dict[str, Any]) -> str:
    """The whole answer to a request body."""
    digest = digest_of(prompt_of(body))
    return "".join(token_text(digest, n) for n in range(output_length(body, digest)))


def prompt_tokens(prompt: Any) -> int:
    """How many tokens a prompt has, here: given, or a quarter of its characters."""
    if isinstance(prompt, list) and all(isinstance(entry, int) for entry in prompt):
        return max(1, len(prompt))
    if isinstance(prompt, list):
        return sum(1 + len(str(m.get("content", ""))) // CHARS_PER_TOKEN for m in prompt)
    return 1 + len(str(prompt)) // CHARS_PER_TOKEN
