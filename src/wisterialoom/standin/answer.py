"""Responses of an emulated engine in the format of the OpenAI API.

A response depends only on the request, so a test can compute the expected text.
"""

from __future__ import annotations

import hashlib
from typing import Any

import orjson

__all__ = ["Answer", "answer_text"]

STREAM_END = b"data: [DONE]\n\n"


def answer_tokens(request_id: str, body: bytes, count: int) -> list[str]:
    """Return the tokens of a response; the first contains the request id."""
    digest = hashlib.sha256(request_id.encode() + body).hexdigest()
    words = [f" {digest[i % 60 : i % 60 + 4]}{i}" for i in range(1, count)]
    return [f"[{request_id}]", *words]


def answer_text(request_id: str, body: bytes, count: int) -> str:
    """Return the complete text that the engine generates for a request.

    Args:
        request_id: Id of the request.
        body: Body of the request as received by the engine.
        count: Number of tokens to generate.
    """
    return "".join(answer_tokens(request_id, body, count))


class Answer:
    """A generated response and its encodings, complete or streamed.

    Attributes:
        request_id: Id of the request.
        model: Model name as given in the request.
        chat: Whether the request is a chat completion.
        prompt_tokens: Number of prompt tokens, reported in the usage.
        tokens: The generated text, one string per token.
    """

    def __init__(
        self,
        request_id: str,
        body: bytes,
        model: str,
        *,
        chat: bool,
        prompt_tokens: int,
        output_tokens: int,
    ) -> None:
        self.request_id = request_id
        self.model = model
        self.chat = chat
        self.prompt_tokens = prompt_tokens
        self.tokens = answer_tokens(request_id, body, output_tokens)

    def to_json(self) -> dict[str, Any]:
        """Return the JSON body of a response that is not streamed."""
        text = "".join(self.tokens)
        content: dict[str, Any] = {"text": text}
        if self.chat:
            content = {"message": {"role": "assistant", "content": text}}
        kind = "chat.completion" if self.chat else "text_completion"
        choice = {"index": 0, "finish_reason": "length", **content}
        return {**self._head(kind), "choices": [choice], "usage": self._usage()}

    def token_event(self, index: int) -> bytes:
        """Return the server-sent event that carries one token."""
        text = self.tokens[index]
        content: dict[str, Any] = {"text": text}
        if self.chat:
            delta = {"content": text}
            content = {"delta": {"role": "assistant", **delta} if not index else delta}
        kind = "chat.completion.chunk" if self.chat else "text_completion"
        last = index == len(self.tokens) - 1
        choice = {
            "index": 0,
            "finish_reason": "length" if last else None,
            **content,
        }
        return _sse_event({**self._head(kind), "choices": [choice]})

    def usage_event(self) -> bytes:
        """Return the server-sent event that reports the token usage."""
        kind = "chat.completion.chunk" if self.chat else "text_completion"
        return _sse_event({**self._head(kind), "choices": [], "usage": self._usage()})

    def _head(self, kind: str) -> dict[str, Any]:
        return {
            "id": f"cmpl-{self.request_id}",
            "object": kind,
            "created": 0,
            "model": self.model,
        }

    def _usage(self) -> dict[str, int]:
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": len(self.tokens),
            "total_tokens": self.prompt_tokens + len(self.tokens),
        }


def _sse_event(item: dict[str, Any]) -> bytes:
    return b"data: " + orjson.dumps(item) + b"\n\n"
