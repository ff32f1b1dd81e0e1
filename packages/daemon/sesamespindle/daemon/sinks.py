"""Delivery of answers to callers: in one piece, or as server-sent events.

A `prompt_runner.PromptRun` calls ``begin_stream`` for each stream that it reads from an
engine, and ``add_piece`` for each piece of the answer.
"""

import aiohttp.web

from sesamespindle.daemon import tokens


class NonStreamingSink:
    """Records the progress of an answer that the caller gets in one piece.

    Parameters
    ----------
    front : sesamespindle.daemon.front.Front
        Supplies the clock and records the time to first token.
    prompt : prompt_runner.PromptRequest
        The prompt.

    Attributes
    ----------
    prepared : bool
        False, as nothing is sent before the answer is complete.
    target : str
        The engine that was read last; empty before the first.
    """

    prepared = False

    def __init__(self, front, prompt):
        self._front = front
        self._prompt = prompt
        self._arrived_at = front.clock.now()
        self._is_first_stream = True
        self.target = ""

    async def begin_stream(self, target, stream, version):
        """Record the target of a stream, and the time to first token."""
        self.target = target
        if self._is_first_stream:
            self._is_first_stream = False
            elapsed = self._front.clock.now() - self._arrived_at
            self._front.record_first_token(self._prompt, None, elapsed.total_seconds())

    async def add_piece(self, piece):
        """Ignore a piece, as the `prompt_runner.PromptRun` collects the text."""


class StreamSink:
    """Writes an answer to the caller as server-sent events.

    The id of each event is a signed position, from which the caller can resume the
    answer at any entry.

    Parameters
    ----------
    front : sesamespindle.daemon.front.Front
        Supplies clock and signer, and records the time to first token.
    request : aiohttp.web.Request
        The caller's request.
    prompt : prompt_runner.PromptRequest
        The prompt.
    formatter : replies.AnswerFormatter
        Builds the data of the events.
    answer_id : str
        The id of the answer, which also goes into the positions.
    """

    def __init__(self, front, request, prompt, formatter, answer_id):
        self._front = front
        self._request = request
        self._prompt = prompt
        self._formatter = formatter
        self._answer_id = answer_id
        self._arrived_at = front.clock.now()
        self._response = aiohttp.web.StreamResponse()
        self._position = None
        self._failed = False

    @property
    def prepared(self):
        """Whether the headers of the response have been sent."""
        return self._response.prepared

    async def begin_stream(self, target, stream, version):
        """Start the response; if it has started, only switch to a new stream's ids.

        Parameters
        ----------
        target : str
            The engine that sends the stream.
        stream : str
            The id of the stream.
        version : str
            The weight version that generates it.
        """
        token = tokens.StreamToken(
            self._prompt.account,
            self._prompt.model,
            target,
            stream,
            version,
            self._answer_id,
        )
        self._position = self._front.signer.stream_signer(token)
        if self._response.prepared:
            return
        elapsed = self._front.clock.now() - self._arrived_at
        self._front.record_first_token(self._prompt, None, elapsed.total_seconds())
        self._response.headers["X-Sesamespindle-Target"] = target
        await self._send_headers()
        role_chunk = self._formatter.first_chunk()
        if role_chunk is not None and not self._prompt.resume_stream:
            await self._write(0, role_chunk)

    async def add_piece(self, piece):
        """Write one `streams.Piece` of the answer; `finish` writes the end."""
        if not self._response.prepared:
            await self._begin_resumed_stream()
        if piece.last:
            return
        await self._write(piece.sequence, self._formatter.chunk(piece.text))

    async def _begin_resumed_stream(self):
        """Start the response to a caller that resumes a stream.

        The engine doesn't announce a resumed stream again, so target, stream and
        version come from the caller's Last-Event-ID.
        """
        token, _ = self._front.signer.read_position(
            self._request.headers["Last-Event-ID"], self._prompt.account
        )
        self._position = self._front.signer.stream_signer(token)
        await self._send_headers()

    async def _send_headers(self):
        """Send the headers of the response.

        Guards against callers that reuse kept-alive connections to a leaving entry
        until its process ends: the headers announce that the connection closes
        after this response. If they were sent before the entry began to leave, the
        connection stays open, since the caller doesn't expect it to close and
        might send its next request at that very moment.
        """
        if self._front.leaving:
            self._response.force_close()
        self._response.headers["Content-Type"] = "text/event-stream"
        self._response.headers["Cache-Control"] = "no-cache"
        await self._response.prepare(self._request)

    async def _write(self, sequence, data):
        text = f"id: {self._position(sequence)}\ndata: {data}\n\n"
        await self._response.write(text.encode())

    async def finish(self, run, token_usage):
        """Write the end of the answer and return the response.

        Parameters
        ----------
        run : prompt_runner.PromptRun
            The run, which has ended.
        token_usage : dict or None
            The usage, from `replies.usage`, if the caller asked for it.
        """
        if self._failed:
            return self._response
        await self._write(run.delivered, self._formatter.last_chunk(run.finish_reason))
        if token_usage is not None:
            await self._write(run.delivered, self._formatter.usage_chunk(token_usage))
        await self._response.write(b"data: [DONE]\n\n")
        await self._response.write_eof()
        return self._response

    async def finish_with_error(self, error):
        """End an answer that has begun with a `replies.CallerError`."""
        self._failed = True
        text = f"data: {aiohttp.web.json_response(error.to_json_value()).text}\n\n"
        await self._response.write(text.encode())
        await self._response.write_eof()
