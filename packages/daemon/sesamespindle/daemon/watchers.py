"""Background tasks that read declarations, the host list and engine loads."""

import asyncio
import datetime
import json
import random

from sesamespindle.daemon import logs, peermessages
from sesamespindle.decide import (
    commands,
    core,
    declared,
    events,
    retries,
    revisions,
    storechecks,
)
from sesamespindle.declare import documents, findings
from sesamespindle.wire import head, platform

_log = logs.part("watch")
# Limit on reads of the host list by all daemons of the fleet together.
_HOST_READS_PER_SECOND = 50
# Numbers of engines that are read in one round, at most: of those that run requests of
# this entry, and of the others.
_MAX_USED_ENGINES = 12
_MAX_OTHER_ENGINES = 2
# How often a daemon that receives declarations from peers checks whether it has become
# a watcher of its data centre.
_ROLE_CHECK_SECONDS = 0.5


class DeclarationsWatcher:
    """Reads the declarations and adopts every higher revision of them.

    A revision is stored as one document for each declared object, and a head that
    lists the digests of all documents. Revisions come from the platform or from peers.

    Parameters
    ----------
    driver : sesamespindle.daemon.driver.Driver
        Receives `events.DeclarationsAdopted`.
    keyring : sesamespindle.daemon.auth.Keyring
        Receives the API keys of the contracts.
    client : sesamespindle.wire.platform.PlatformClient
        The platform's object store.
    check_client : sesamespindle.wire.platform.PlatformClient
        The same store by connections that aren't reused, for the checks.
    settings : sesamespindle.declare.settings.Settings
        The settings of the host.

    Attributes
    ----------
    head : sesamespindle.wire.head.Head
        The head of the active revision.
    known : asyncio.Event
        Set once a revision is active.
    """

    def __init__(self, driver, keyring, client, check_client, settings):
        self._driver = driver
        self._check_client = check_client
        self._check_tasks = set()
        driver.on(storechecks.CheckStore, self._start_check)
        driver.on(storechecks.CheckSettled, lambda command: None)
        # Peers that know a later revision are fetched from by `FetchDeclarations`.
        driver.on(commands.ReadAgain, lambda command: None)
        self._keyring = keyring
        self._client = client
        self._settings = settings
        self._content_by_digest = {}
        self.head = head.Head()
        self.known = asyncio.Event()

    async def run(self):
        """Watch the platform for new revisions until cancelled."""
        random_source = random.Random(self._driver.core.state.me.incarnation)
        version = 0
        try:
            while True:
                await self._wait_until_due()
                version = await self._watch(version, random_source)
        finally:
            for task in self._check_tasks:
                task.cancel()

    async def _watch(self, version, random_source):
        """Wait for a version above the given one; return the version then known."""
        try:
            return await self._wait_for_change(version)
        except (platform.PlatformUnavailableError, findings.FindingsError) as error:
            _log.warning("Failed to read the declarations. {}", error)
            pause = retries.with_jitter(
                self._settings.host_list_interval, random_source
            )
            await asyncio.sleep(pause.total_seconds())
            return version

    async def _wait_until_due(self):
        """Return once this daemon is to watch the platform.

        That is at once if it has no declarations yet. Otherwise it waits until it is
        one of the few watchers of its data centre, which pass changes on to the others
        by gossip. A change that is missed so is found by a check.
        """
        while self.known.is_set() and not self._driver.core.is_watcher():
            await asyncio.sleep(_ROLE_CHECK_SECONDS)

    def _start_check(self, command):
        task = asyncio.create_task(self._check())
        self._check_tasks.add(task)
        task.add_done_callback(self._end_check)

    def _end_check(self, task):
        """Report that a check has ended, in whatever way."""
        self._check_tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            _log.opt(exception=error).error("A check of the declarations failed.")
        self._driver.feed(storechecks.CheckEnded(error is None and task.result()))

    async def _check(self):
        """Read the declarations' head, and adopt it if it is new; return whether read.

        Guards against entries that all take a dead watch's silence for the absence of
        changes: the read uses a connection of its own, and what it shows is proved.
        """
        began = self._driver.clock.now()
        try:
            stored = await head.read(self._check_client)
            await self._adopt_stored(stored, self._check_client)
        except (platform.PlatformUnavailableError, findings.FindingsError) as error:
            _log.warning("Failed to check the declarations. {}", error)
            return False
        # A stale read may show an older head than the active one, and proves nothing.
        if self.known.is_set() and stored.head.revision == self.head.revision:
            self._driver.core.state.freshness.prove(
                core.DECLARATIONS, revisions.Revision(0, self.head.revision), began
            )
        return True

    async def _wait_for_change(self, version):
        found = await self._client.watch(
            head.HEAD_KIND, head.HEAD_NAME, version, self._settings.watch_timeout
        )
        if found is None:
            return version
        return await self._adopt_stored(head.stored_head_of(found), self._client)

    async def _adopt_stored(self, stored, client):
        """Adopt a head that was read, with its documents; return its version."""
        missing = self.missing(stored.head)
        await self.adopt(stored.head, await head.read_documents(client, missing))
        return stored.version

    def missing(self, wanted):
        """Return the digests of a head's documents that this daemon doesn't have.

        Parameters
        ----------
        wanted : sesamespindle.wire.head.Head
            The head.

        Returns
        -------
        digests : set of str
        """
        return set(wanted.digest_by_key.values()) - self._content_by_digest.keys()

    def known_state(self):
        """Return the `peermessages.KnownState` record of what a peer need not send."""
        digests = list(self.head.digest_by_key.values())
        return peermessages.KnownState(self.head.revision, digests)

    def make_update(self, known_digests):
        """Return the active head and its documents, without those that a peer has.

        Parameters
        ----------
        known_digests : iterable of str
            The digests of the documents that the peer has.

        Returns
        -------
        packed : peermessages.Packed
        """
        wanted = set(self.head.digest_by_key.values()) - set(known_digests)
        documents_by_digest = {
            digest: json.dumps(self._content_by_digest[digest]).encode()
            for digest in wanted
        }
        raw_head = json.dumps(self.head.to_json_value()).encode()
        return peermessages.StateUpdate(
            self.head.revision, raw_head, documents_by_digest
        )

    async def adopt_update(self, raw_head, documents_by_digest, asked_at):
        """Adopt what a peer packed, if its revision is higher.

        Parameters
        ----------
        raw_head : bytes
            The head as JSON.
        documents_by_digest : dict of str to bytes
            Documents as JSON; they and the ones known here cover the head.
        asked_at : datetime.datetime
            Not used, as declarations have no age.

        Raises
        ------
        findings.FindingsError
            If the documents are invalid.
        """
        value = json.loads(raw_head)
        found = head.Head(
            value["revision"], value["digest_by_key"], tuple(value["nonces"])
        )
        contents = {
            digest: json.loads(raw) for digest, raw in documents_by_digest.items()
        }
        await self.adopt(found, contents)

    async def adopt(self, new_head, content_by_digest):
        """Activate a head if its revision is higher than the active one.

        Parameters
        ----------
        new_head : sesamespindle.wire.head.Head
            The head.
        content_by_digest : dict of str to dict
            Contents of its documents; those known here may be missing.

        Raises
        ------
        findings.FindingsError
            If the documents are invalid. The active revision stays.
        """
        if new_head.revision <= self.head.revision:
            return
        self._content_by_digest |= content_by_digest
        entities = head.validated_entities(new_head, self._content_by_digest)
        declarations = documents.to_declarations(entities)
        self.head = new_head
        kept = set(new_head.digest_by_key.values())
        for digest in self._content_by_digest.keys() - kept:
            del self._content_by_digest[digest]
        self._activate(new_head.revision, declarations)

    def _activate(self, revision, declarations):
        self._driver.core.state.freshness.note_read(
            core.DECLARATIONS,
            revisions.Revision(0, revision),
            revision,
            None,
            "declarations",
        )
        self._driver.feed(events.DeclarationsAdopted(revision, declarations))
        self._keyring.replace(declarations.contracts)
        self.known.set()
        _log.info("Revision {} of the declarations is active.", revision)


class HostsWatcher:
    """Polls the platform's list of hosts, which lags behind the hosts' real state.

    The interval grows with the fleet, so that all daemons together read the list at
    most `_HOST_READS_PER_SECOND` times a second.

    Parameters
    ----------
    driver : sesamespindle.daemon.driver.Driver
        Receives `events.HostsListed`.
    client : sesamespindle.wire.platform.PlatformClient
        The platform's object store.
    settings : sesamespindle.declare.settings.Settings
        The settings of the host, with the shortest interval.
    """

    def __init__(self, driver, client, settings):
        self._driver = driver
        self._client = client
        self._settings = settings

    async def run(self):
        """Read the list at intervals until cancelled."""
        random_source = random.Random(self._driver.core.state.me.incarnation + 1)
        version = 0
        while True:
            try:
                listed = await self._client.list_hosts_after(version)
                if listed is not None:
                    version = listed.version
                    self._driver.feed(events.HostsListed(listed.value))
            except platform.PlatformUnavailableError as error:
                _log.warning("Failed to read the host list. {}", error)
            entries = len(self._driver.core.state.entries)
            fair_interval = datetime.timedelta(seconds=entries / _HOST_READS_PER_SECOND)
            interval = max(self._settings.host_list_interval, fair_interval)
            await asyncio.sleep(
                retries.with_jitter(interval, random_source).total_seconds()
            )


class LoadWatcher:
    """Polls the load reports of the engines, which lag behind their real load.

    Each round reads engines that run requests of this entry, up to a limit, and a few
    of the others in turn, so that the cost does not grow with the number of engines.
    An entry without running requests reads only one engine in a round.

    Parameters
    ----------
    driver : sesamespindle.daemon.driver.Driver
        Receives `events.LoadReported`, and `events.TargetLeaving` for engines that
        leave.
    engines : sesamespindle.wire.engine.EngineClient
        Reads the reports.
    settings : sesamespindle.declare.settings.Settings
        The settings of the host, with the interval between rounds.
    """

    def __init__(self, driver, engines, settings):
        self._driver = driver
        self._engines = engines
        self._interval = settings.load_interval.total_seconds()
        self._random = random.Random(driver.core.state.me.incarnation + 2)
        self._other_index = 0

    async def run(self):
        """Read the reports at intervals until cancelled."""
        while True:
            await asyncio.gather(*(self._read(row) for row in self._choose()))
            await asyncio.sleep(self._interval)

    def _choose(self):
        """Return the target rows of the engines to read in this round."""
        targets = self._driver.core.state.targets
        engines = [
            row for row in targets.where("kind", declared.TargetKind.ENGINE) if row.url
        ]
        used = [row for row in engines if row.running_here]
        others = [row for row in engines if not row.running_here]
        chosen = self._random.sample(used, min(_MAX_USED_ENGINES, len(used)))
        limit = _MAX_OTHER_ENGINES if used else 1
        for _ in range(min(limit, len(others))):
            self._other_index += 1
            chosen.append(others[self._other_index % len(others)])
        return chosen

    async def _read(self, row):
        value = await self._engines.load(row.url)
        if value is None:
            return
        age = datetime.timedelta(seconds=value["age_seconds"])
        self._driver.feed(
            events.LoadReported(
                row.name,
                self._driver.clock.now() - age,
                value["backlog_tokens"],
                value["running"],
                value["prefill_rate"],
                value["version"],
            )
        )
        if value.get("leaving"):
            self._driver.feed(events.TargetLeaving(row.name))
