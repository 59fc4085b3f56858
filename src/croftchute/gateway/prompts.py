"""Sizes and prefix hashes of prompts, without a tokenizer."""

from __future__ import annotations

from typing import Any

import msgspec
import xxhash

from croftchute.systems.prefix_index import BLOCK_TOKENS

CHARS_PER_TOKEN = 4
MAX_PREFIX_BLOCKS = 8
BLOCK_MASK = 0xFFFFFFFF


def prompt_tokens(prompt: Any) -> int:
    """An estimate of a prompt's tokens: exact for token lists, else by characters.

    >>> prompt_tokens([1, 2, 3]), prompt_tokens("abcdefgh")
    (3, 3)
    """
    if isinstance(prompt, list) and all(isinstance(entry, int) for entry in prompt):
        return max(1, len(prompt))
    if isinstance(prompt, list):
        return sum(1 + len(_content(message)) // CHARS_PER_TOKEN for message in prompt)
    return 1 + len(str(prompt)) // CHARS_PER_TOKEN


def prefix_blocks(prompt: Any) -> tuple[int, ...]:
    """Hashes of the whole leading blocks of a prompt; each hash covers all before it."""
    if isinstance(prompt, list) and all(isinstance(entry, int) for entry in prompt):
        size = BLOCK_TOKENS
        pieces = [msgspec.json.encode(prompt[n : n + size]) for n in range(0, len(prompt), size)]
        whole = len(prompt) // size
    else:
        raw = prompt.encode() if isinstance(prompt, str) else msgspec.json.encode(prompt)
        size = BLOCK_TOKENS * CHARS_PER_TOKEN
        pieces = [raw[n : n + size] for n in range(0, len(raw), size)]
        whole = len(raw) // size
    running = xxhash.xxh3_64()
    blocks = []
    for piece in pieces[: min(whole, MAX_PREFIX_BLOCKS)]:
        running.update(piece)
        blocks.append(running.intdigest() & BLOCK_MASK)
    return tuple(blocks)


def _content(message: Any) -> str:
    return str(message.get("content", "")) if isinstance(message, dict) else str(message)
