"""Asks peers which software version began a stream that a caller takes up again."""

import asyncio
import collections
import contextlib
import dataclasses

from sesamespindle.daemon import logs
from sesamespindle.decide import softwarerecords, streamorigins

_log = logs.part("relay")
# A peer in another region answers within 100 ms; a lost question is asked again.
_PATIENCE_SECONDS = 0.2
_ASK_AGAIN_SECONDS = 0.06
# How long a new stream waits until a version that may begin it is recorded. A write to
# the store, and what tells other hosts of it, fit into this time.
_RECORD_PATIENCE_SECONDS = 0.2


class _Question:
    """A question to several peers, answered by the first that knows.

    Parameters
    ----------
    addresses : collection of str
        The peers' addresses.
    """

    def __init__(self, addresses):
        self.open_addresses = set(addresses)
        self._answered = asyncio.get_running_loop().create_future()

    def note_answer(self, address, origin):
        """Record a peer's answer; None if it doesn't know."""
        self.open_addresses.discard(address)
        if self._answered.done():
            return
        if origin is not None or not self.open_addresses:
            self._answered.set_result(origin)

    async def answer(self):
        """Wait for the answer."""
        return await asyncio.shield(self._answered)


class OriginLookup:
    """Finds out which software version began a stream, and tells and answers peers.

    Parameters
    ----------
    driver : sesamespindle.daemon.driver.Driver
        Its decision logic has the `streamorigins.StreamOrigins`.
    measures : sesamespindle.daemon.measures.Measures
        Counts streams that are taken up.
    record : object, optional
        Finds out what is recorded of an attempt, by a coroutine function `find` that
        takes its key; left out where nothing is recorded.
    proofs : sesamespindle.daemon.proofs.Proofs, optional
        Proves what is known of the records of software versions; left out where
        nothing is recorded.
    kind : str
        The platform's name for the kind of these records.
    """

    def __init__(self, driver, measures, record=None, proofs=None, kind=""):
        self._driver = driver
        self._record = record
        self._proofs = proofs
        self._kind = kind
        self._measures = measures
        self._peers = None
        self._questions_by_key = collections.defaultdict(list)
        self._records_read = asyncio.Event()
        driver.on(softwarerecords.RecordsRead, self._wake)

    def use_peers(self, peers):
        """Exchange datagrams with peers, by a `sesamespindle.daemon.peering.Peering`.

        Until then, which is before this host serves callers, nothing is told or asked.
        """
        self._peers = peers
        self._driver.on(streamorigins.TellOrigin, self._tell)
        peers.set_origin_receiver(self._receive)

    async def find(self, request):
        """Return a request with the origin of the stream that it takes up.

        Nothing is asked while the stream's services have one software version, and this
        host would know of another. A new stream waits until the version that may begin
        it is recorded, unless the store doesn't answer.
        """
        core = self._driver.core
        now = self._driver.clock.now()
        configuration = core.forwarding.configuration
        stream = core.origins.taken_up(configuration, request, now)
        if stream is None:
            await self._await_record(request)
            return request
        services, account = stream
        is_informed = core.origins.is_informed(now)
        if is_informed and not core.origins.matters(services):
            only = core.stream_versions.only_seen_version(*services)
            self._note_taken_up(request, only, "one_version")
            return request
        key = streamorigins.key_of(account, request.resumes)
        origin, source = await self._find_told(key, request, now)
        if origin is None:
            source = "unknown" if is_informed else "out_of_touch"
            origin = await self._find_sole(services, now)
            source = "sole_version" if origin is not None else source
            if origin is not None and request.resumes:
                core.origins.learned(key, origin, now)
                self._driver.feed()
        self._note_taken_up(request, origin.software if origin else "", source)
        return dataclasses.replace(request, origin=origin)

    def _note_taken_up(self, request, software, source):
        """Count and log a stream that is taken up, and how its version is known."""
        self._measures.taken_up(source)
        _log.bind(request=request.request_id).info(
            "Takes up the stream begun as {}, at software version {} ({}).",
            request.resumes or "-",
            software or "-",
            source,
        )

    async def _find_told(self, key, request, now):
        """Return what this host, its peers or the store were told of an attempt.

        Returns
        -------
        origin : streamorigins.Origin or None
        source : str
            How it is known, for the metric.
        """
        origin = self._driver.core.origins.known(key, now)
        if origin is not None or not request.resumes:
            return origin, "remembered" if origin is not None else "unknown"
        if self._peers is not None:
            origin = await self._ask(key)
        if origin is not None:
            return origin, "asked"
        if self._record is not None:
            origin = await self._record.find(key)
        return origin, "recorded" if origin is not None else "unknown"

    async def _find_sole(self, services, now):
        """Return the `streamorigins.Origin` of a stream that one version alone began.

        Parameters
        ----------
        services : tuple of str
            The services that may have begun it.
        now : datetime.datetime
            A time at which it had begun.
        """
        origins = self._driver.core.origins
        if self._proofs is None or origins.sole(services) is None:
            return None
        if not await self._proofs.prove(self._kind, now):
            return None
        return origins.sole(services)

    async def _await_record(self, request):
        """Wait until a new stream can begin at a version that is recorded.

        Returns at once for other requests, and if the store doesn't answer.
        """
        core = self._driver.core
        versions = core.stream_versions
        if request.takes_up or not versions.may_await_records():
            return
        services = streamorigins.resumable_services(
            core.forwarding.configuration, request
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_RECORD_PATIENCE_SECONDS):
                while self._awaits_any(services):
                    if not core.store_checks.is_store_answering():
                        return
                    await self._records_read.wait()

    def _awaits_any(self, services):
        now = self._driver.clock.now()
        versions = self._driver.core.stream_versions
        return any(versions.awaits_record(service, now) for service in services)

    def _wake(self, command):
        self._records_read.set()
        self._records_read = asyncio.Event()

    async def _ask(self, key):
        """Return the `streamorigins.Origin` that a peer remembers, or None."""
        addresses = self._driver.core.origins.addresses_to_ask(key)
        if not addresses:
            return None
        question = _Question(addresses)
        self._questions_by_key[key].append(question)
        try:
            async with asyncio.timeout(_PATIENCE_SECONDS):
                return await self._ask_repeatedly(key, question)
        except TimeoutError:
            _log.info(
                "{} of {} peers didn't tell in time where a stream began.",
                len(question.open_addresses),
                len(addresses),
            )
            return None
        finally:
            self._questions_by_key[key].remove(question)
            if not self._questions_by_key[key]:
                del self._questions_by_key[key]

    async def _ask_repeatedly(self, key, question):
        while True:
            for address in list(question.open_addresses):
                self._peers.send_origin("asked", key, None, address)
            # A question or its answer may be lost.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_ASK_AGAIN_SECONDS):
                    return await question.answer()

    def _tell(self, command):
        for address in command.addresses:
            self._peers.send_origin("told", command.key, command.origin, address)
        if command.recorder:
            key, origin = command.key, command.origin
            self._peers.send_origin("record", key, origin, command.recorder)

    def _receive(self, kind, key, origin, address):
        match kind:
            case "told" | "record" if origin is not None:
                is_to_be_recorded = kind == "record"
                self._driver.feed(
                    streamorigins.OriginTold(key, origin, is_to_be_recorded)
                )
            case "asked":
                known = self._driver.core.origins.known(key, self._driver.clock.now())
                self._peers.send_origin("answered", key, known, address)
            case "answered":
                for question in self._questions_by_key.get(key, ()):
                    question.note_answer(address, origin)
            case _:
                _log.debug("A message about an origin is unknown: {}.", kind)
