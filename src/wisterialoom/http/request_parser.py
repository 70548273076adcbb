"""Parses a caller's HTTP request into the `Request` that the core handles."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import Any, TYPE_CHECKING

import orjson

from wisterialoom.core.error import WisterialoomError
from wisterialoom.core.requests.classifier import MODEL_PATHS
from wisterialoom.core.requests.request import Request

if TYPE_CHECKING:
    from collections.abc import Mapping

    from aiohttp import web

__all__ = ["BadRequestError", "ReceivedRequest", "digest_api_key", "parse_request"]

DEADLINE_HEADER = "X-Deadline-Ms"
PRIORITY_HEADER = "X-Priority"
IDEMPOTENCY_HEADER = "Idempotency-Key"

MAX_IDEMPOTENCY_KEY_CHARS = 255
"""Greatest length of an idempotency key, in characters."""

CHARS_PER_TOKEN = 4
"""Characters per token assumed when the length of a prompt is estimated."""

BLOCK_CHARS = 256
"""Length of a prefix block, in characters."""

MAX_HASHED_BLOCKS = 64
"""Greatest number of leading blocks of a prompt that are hashed."""

DEFAULT_MAX_TOKENS = 256
"""Greatest number of tokens to generate if the request states none."""


class BadRequestError(WisterialoomError):
    """Raised if a request cannot be parsed."""


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request as read, with everything that is forwarded to a backend server.

    Attributes:
        request: The request as the core handles it.
        body: The body as received.
        target: Path and query.
        headers: The headers as received.
    """

    request: Request
    body: bytes
    target: str
    headers: Mapping[str, str] = field(default_factory=dict)


def parse_request(
    web_request: web.Request, request_id: str, body: bytes
) -> ReceivedRequest:
    """Parse a request.

    Args:
        web_request: The request.
        request_id: Identifier to give to it.
        body: Its complete body.

    Raises:
        BadRequestError: If a header or the body cannot be parsed.
    """
    fields: dict[str, Any] = {}
    if web_request.path in MODEL_PATHS:
        fields = _read_model_fields(body)
    key = web_request.headers.get(IDEMPOTENCY_HEADER, "")
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARS:
        raise BadRequestError(
            f"{IDEMPOTENCY_HEADER} is longer than {MAX_IDEMPOTENCY_KEY_CHARS} "
            "characters; send a shorter one"
        )
    request = Request(
        request_id=request_id,
        method=web_request.method,
        path=web_request.path,
        api_key_sha256=digest_api_key(web_request),
        idempotency_key=key,
        body_sha256=_digest_content(web_request, body),
        deadline_s=_read_deadline(web_request),
        priority=web_request.headers.get(PRIORITY_HEADER, ""),
        respond_async=_prefers_async(web_request),
        **fields,
    )
    return ReceivedRequest(request, body, web_request.path_qs, web_request.headers)


def digest_api_key(web_request: web.Request) -> str:
    """Return the hex digest of the bearer token; empty unless there is exactly one."""
    values = web_request.headers.getall("Authorization", [])
    if len(values) != 1:
        return ""
    scheme, _, key = values[0].partition(" ")
    if scheme.lower() != "bearer" or not key:
        return ""
    # Bytes that are not text arrive as single surrogates.
    digest = hashlib.sha256(key.strip().encode("utf-8", "surrogateescape"))
    return digest.hexdigest()


def _digest_content(web_request: web.Request, body: bytes) -> str:
    digest = hashlib.sha256(f"{web_request.method} {web_request.path_qs}\n".encode())
    digest.update(body)
    return digest.hexdigest()


def _read_deadline(web_request: web.Request) -> float | None:
    text = web_request.headers.get(DEADLINE_HEADER)
    if text is None:
        return None
    if not text.isascii() or not text.isdigit() or int(text) == 0:
        raise BadRequestError(
            f"{DEADLINE_HEADER} is {text!r}; send whole milliseconds above 0"
        )
    return int(text) / 1e3


def _prefers_async(web_request: web.Request) -> bool:
    preferences = web_request.headers.getall("Prefer", [])
    parts = [part.strip() for text in preferences for part in text.split(",")]
    return "respond-async" in parts


def _read_model_fields(body: bytes) -> dict[str, Any]:
    try:
        item = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise BadRequestError(f"the body is not JSON ({error}); send JSON") from error
    model = item.get("model") if isinstance(item, dict) else None
    if not isinstance(model, str) or not model:
        raise BadRequestError("the body names no model; send a string in `model`")
    prompt = _prompt_text(item)
    return {
        "model": model,
        "stream": item.get("stream") is True,
        "prompt_tokens": len(prompt) // CHARS_PER_TOKEN + 1,
        "max_tokens": _max_tokens(item),
        "prefix_hashes": _hash_blocks(model, prompt),
    }


def _prompt_text(item: dict[str, Any]) -> str:
    messages = item.get("messages")
    if not isinstance(messages, list):
        return str(item.get("prompt", ""))
    parts = (
        f"{message.get('role')}:{message.get('content')}"
        for message in messages
        if isinstance(message, dict)
    )
    return "\n".join(parts)


def _max_tokens(item: dict[str, Any]) -> int:
    value = item.get("max_completion_tokens", item.get("max_tokens"))
    return value if isinstance(value, int) and value > 0 else DEFAULT_MAX_TOKENS


def _hash_blocks(model: str, prompt: str) -> tuple[int, ...]:
    digest = hashlib.blake2b(model.encode(), digest_size=8)
    hashes = []
    block_count = min(len(prompt) // BLOCK_CHARS, MAX_HASHED_BLOCKS)
    for index in range(block_count):
        block = prompt[index * BLOCK_CHARS : (index + 1) * BLOCK_CHARS]
        digest.update(block.encode())
        hashes.append(int.from_bytes(digest.digest(), "big"))
    return tuple(hashes)
