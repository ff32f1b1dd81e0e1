"""Responses to callers in the format of the OpenAI API."""

import json
import math

import aiohttp.web

from sesamespindle.decide import commands

_Code = commands.Code
_STATUS_BY_CODE = {
    _Code.UNKNOWN_MODEL: 404,
    _Code.UNKNOWN_POOL: 404,
    _Code.CONTEXT_TOO_LONG: 400,
    _Code.CONCURRENCY: 429,
    _Code.OVERLOADED: 503,
    _Code.NO_TARGET: 503,
    _Code.RETRY_BUDGET: 503,
    _Code.DEADLINE: 504,
    _Code.PLATFORM_AWAY: 503,
    _Code.STILL_RUNNING: 409,
    _Code.KEY_REUSED: 422,
    _Code.OUTCOME_UNKNOWN: 502,
    _Code.STREAM_LOST: 410,
    _Code.ENTRY_GONE: 502,
    _Code.SHUTTING_DOWN: 503,
    _Code.SUSPECTED: 503,
    _Code.QUARANTINED: 503,
}
_TYPE_BY_STATUS = {
    401: "authentication_error",
    404: "not_found_error",
    429: "rate_limit_error",
}
OUTCOME_HEADER = "X-Sesamespindle-Outcome"


class CallerError(Exception):
    """An error that is the final answer to a caller's request.

    Parameters
    ----------
    status : int
        The HTTP status.
    code : str
        The error code: a `commands.Code`, or one that only the HTTP API uses.
    message : str
        The description for the caller.
    retry_after : datetime.timedelta, optional
        How long the caller should wait before it retries.
    outcome : commands.Outcome
        Whether the request has certainly not run, or may have run.
    param : str, optional
        The field of the body that the error is about.
    """

    def __init__(
        self,
        status,
        code,
        message,
        retry_after=None,
        outcome=commands.Outcome.NOT_RUN,
        param=None,
    ):
        super().__init__(message)
        self.status = status
        self.code = str(code)
        self.message = message
        self.retry_after = retry_after
        self.outcome = outcome
        self.param = param

    def to_json_value(self):
        """Return the error as the JSON object of a response body."""
        retry_after = None
        if self.retry_after is not None:
            retry_after = round(self.retry_after.total_seconds(), 3)
        error_type = _TYPE_BY_STATUS.get(
            self.status, "server_error" if self.status >= 500 else "invalid_request"
        )
        return {
            "error": {
                "message": self.message,
                "type": error_type,
                "param": self.param,
                "code": self.code,
                "outcome": self.outcome.value,
                "retry_after": retry_after,
            }
        }

    def to_response(self):
        """Return the error as an `aiohttp.web.Response`.

        The Retry-After header is in whole seconds, at least 1; the body has it to
        the millisecond.
        """
        headers = {OUTCOME_HEADER: self.outcome.value}
        if self.retry_after is not None:
            seconds = math.ceil(self.retry_after.total_seconds())
            headers["Retry-After"] = str(max(1, seconds))
        return aiohttp.web.json_response(
            self.to_json_value(), status=self.status, headers=headers
        )


def from_refusal(refusal):
    """Return the `CallerError` for a `commands.Refuse`."""
    return CallerError(
        _STATUS_BY_CODE[refusal.code],
        refusal.code.value,
        refusal.message,
        refusal.retry_after,
        refusal.outcome,
    )


class AnswerFormatter:
    """Builds the JSON objects of one answer, for a chat or a plain completion.

    Parameters
    ----------
    is_chat : bool
        Whether the caller asked for a chat completion.
    answer_id : str
        The id that all objects of the answer carry.
    model : str
        The model's name.
    created : int
        When the answer was created, in seconds since the epoch.
    """

    def __init__(self, is_chat, answer_id, model, created):
        self._is_chat = is_chat
        self._id = answer_id
        self._model = model
        self._created = created
        self._chunk_head, self._chunk_tail = self._chunk_frame()

    def chunk(self, text):
        """Return the chunk for one token of a stream, as JSON text."""
        return f"{self._chunk_head}{json.dumps(text)}{self._chunk_tail}"

    def first_chunk(self):
        """Return the chunk with the role as JSON text; None for a plain completion."""
        if not self._is_chat:
            return None
        delta = {"role": "assistant", "content": ""}
        return self._serialize([{"index": 0, "delta": delta, "finish_reason": None}])

    def last_chunk(self, finish_reason):
        """Return the chunk that ends the choices of a stream, as JSON text."""
        if self._is_chat:
            choice = {"index": 0, "delta": {}, "finish_reason": finish_reason}
        else:
            choice = {"index": 0, "text": "", "finish_reason": finish_reason}
        return self._serialize([choice])

    def usage_chunk(self, usage):
        """Return the chunk with the token usage, as JSON text."""
        return self._serialize([], usage)

    def complete_answer(self, text, finish_reason, usage):
        """Return the JSON object of an answer that is not streamed."""
        if self._is_chat:
            content = {"message": {"role": "assistant", "content": text}}
        else:
            content = {"text": text}
        choice = {"index": 0, "finish_reason": finish_reason, "logprobs": None}
        value = self._make_object("chat.completion", [choice | content])
        value["usage"] = usage
        return value

    def _chunk_frame(self):
        """Return the JSON text before and after the token of a chunk.

        Only the token differs between chunks, so the rest is serialised once.
        """
        marker = "\0"
        if self._is_chat:
            choice = {"index": 0, "delta": {"content": marker}, "finish_reason": None}
        else:
            choice = {"index": 0, "text": marker, "finish_reason": None}
        head, tail = self._serialize([choice]).split(json.dumps(marker))
        return head, tail

    def _serialize(self, choices, usage=None):
        value = self._make_object("chat.completion.chunk", choices)
        if usage is not None:
            value["usage"] = usage
        return json.dumps(value)

    def _make_object(self, chat_object_type, choices):
        return {
            "id": self._id,
            "object": chat_object_type if self._is_chat else "text_completion",
            "created": self._created,
            "model": self._model,
            "choices": choices,
        }


def usage(prompt_tokens, answer_tokens, started):
    """Return the token usage of an answer as a JSON object.

    Parameters
    ----------
    prompt_tokens, answer_tokens : int
        Tokens of the prompt, and tokens of the answer that the caller received.
    started : sesamespindle.wire.engine.Started or None
        What the engine reported of its KV cache; None if no engine reported.
    """
    cached = 0
    imported = 0
    if started is not None:
        imported = started.imported_tokens
        cached = started.reused_tokens + imported
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": answer_tokens,
        "total_tokens": prompt_tokens + answer_tokens,
        "prompt_tokens_details": {
            "cached_tokens": cached,
            "imported_tokens": imported,
        },
    }
