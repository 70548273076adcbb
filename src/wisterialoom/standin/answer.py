"""Answers of a stand-in engine in the OpenAI form, a function of the request."""

from __future__ import annotations

import hashlib
from typing import Any

import orjson

__all__ = ["Answer", "answer_text"]

STREAM_END = b"data: [DONE]\n\n"


def answer_tokens(request_id: str, body: bytes, count: int) -> list[str]:
    """Return the tokens of an answer; the first carries the request's id."""
    digest = hashlib.sha256(request_id.encode() + body).hexdigest()
    words = [f" {digest[i % 60 : i % 60 + 4]}{i}" for i in range(1, count)]
    return [f"[{request_id}]", *words]


def answer_text(request_id: str, body: bytes, count: int) -> str:
    """Return the whole text that a request has to get.

    Args:
        request_id: The request's id.
        body: Its body as the engine got it.
        count: Tokens wanted.
    """
    return "".join(answer_tokens(request_id, body, count))


class Answer:
    """One answer and its forms.

    Attributes:
        request_id: The request's id.
        model: As named by the request.
        chat: It answers a chat completion.
        prompt_tokens: For the usage.
        tokens: The text in pieces.
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

    def whole(self) -> dict[str, Any]:
        """Return the answer to a request that does not stream."""
        text = "".join(self.tokens)
        content: dict[str, Any] = {"text": text}
        if self.chat:
            content = {"message": {"role": "assistant", "content": text}}
        kind = "chat.completion" if self.chat else "text_completion"
        choice = {"index": 0, "finish_reason": "length", **content}
        return {**self._head(kind), "choices": [choice], "usage": self._usage()}

    def chunk(self, index: int) -> bytes:
        """Return the server-sent event of one token."""
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
        return _event({**self._head(kind), "choices": [choice]})

    def usage_chunk(self) -> bytes:
        """Return the server-sent event with the usage."""
        kind = "chat.completion.chunk" if self.chat else "text_completion"
        return _event({**self._head(kind), "choices": [], "usage": self._usage()})

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


def _event(item: dict[str, Any]) -> bytes:
    return b"data: " + orjson.dumps(item) + b"\n\n"
