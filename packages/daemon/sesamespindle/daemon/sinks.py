"""Giving answers to callers: whole, or as server-sent events."""

import aiohttp.web

from sesamespindle.daemon import tokens


class WholeSink:
    """Takes an answer that is given to the caller in one piece."""

    prepared = False

    def __init__(self, front, prompt):
        self._front = front
        self._prompt = prompt
        self._arrived_at = front.clock.now()
        self._first = True
        self.target = ""

    async def begin(self, target, stream, version):
        """Note the target of a stream, and the first token's time."""
        self.target = target
        if self._first:
            self._first = False
            waited = self._front.clock.now() - self._arrived_at
            self._front.note_first_token(self._prompt, None, waited.total_seconds())

    async def take(self, piece):
        """Do nothing: the run keeps the text."""


class StreamSink:
    """Writes an answer to the caller as server-sent events.

    Each event's id is a position from which any entry can read on.
    """

    def __init__(self, front, request, prompt, form, answer_id):
        self._front = front
        self._request = request
        self._prompt = prompt
        self._form = form
        self._answer_id = answer_id
        self._arrived_at = front.clock.now()
        self._response = aiohttp.web.StreamResponse()
        self._position = None
        self._failed = False

    @property
    def prepared(self):
        """Return whether the caller has the start of the answer."""
        return self._response.prepared

    async def begin(self, target, stream, version):
        """Begin the response, or go on with another stream's positions."""
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
        waited = self._front.clock.now() - self._arrived_at
        self._front.note_first_token(self._prompt, None, waited.total_seconds())
        self._response.headers["X-Sesamespindle-Target"] = target
        await self._prepare()
        first = self._form.first_chunk()
        if first is not None and not self._prompt.resume_stream:
            await self._write(0, first)

    async def take(self, piece):
        """Write one piece of the answer."""
        if not self._response.prepared:
            await self._begin_resumed()
        if piece.last:
            return
        await self._write(piece.sequence, self._form.chunk(piece.text))

    async def _begin_resumed(self):
        """Begin a response to a caller that reads on."""
        token, _ = self._front.signer.read_position(
            self._request.headers["Last-Event-ID"], self._prompt.account
        )
        self._position = self._front.signer.stream_signer(token)
        await self._prepare()

    async def _prepare(self):
        """Send the head of the response.

        Guards against callers that keep the connections of a leaving entry and
        come back over them until its process ends. An answer that has begun
        before is left alone: its caller wasn't told and may send the next
        request just when the connection is closed.
        """
        if self._front.leaving:
            self._response.force_close()
        self._response.headers["Content-Type"] = "text/event-stream"
        self._response.headers["Cache-Control"] = "no-cache"
        await self._response.prepare(self._request)

    async def _write(self, sequence, data):
        text = f"id: {self._position(sequence)}\ndata: {data}\n\n"
        await self._response.write(text.encode())

    async def finish(self, run, spent):
        """Write the end of the answer and return the response."""
        if self._failed:
            return self._response
        await self._write(run.delivered, self._form.last_chunk(run.finish_reason))
        if spent is not None:
            await self._write(run.delivered, self._form.usage_chunk(spent))
        await self._response.write(b"data: [DONE]\n\n")
        await self._response.write_eof()
        return self._response

    async def fail(self, error):
        """Write an error into an answer that has begun."""
        self._failed = True
        text = f"data: {aiohttp.web.json_response(error.to_value()).text}\n\n"
        await self._response.write(text.encode())
        await self._response.write_eof()
