"""What other hosts say of a target that refuses this host's connections.

A refusal alone doesn't show that the target has ended: this host may have lost its path
there. So it asks a few peers, which try for themselves.
"""

import asyncio

from sesamespindle.daemon import logs, tasksets
from sesamespindle.decide import crashes

_log = logs.part("relay")
_Verdict = crashes.Verdict


class Opinions(tasksets.TaskSet):
    """Carries out `crashes.AskOpinions` commands, and gives opinions to peers.

    Used as a context manager, it cancels the questions in flight at the end.

    Parameters
    ----------
    driver : sesamespindle.daemon.driver.Driver
        Receives the `crashes.OpinionsHeard` of each command.
    peers : sesamespindle.daemon.peering.Peering
        Asks peers, and passes their questions to `judge`.
    probe : sesamespindle.daemon.targetprobe.TargetProbe
        Tries targets for this host.
    """

    def __init__(self, driver, peers, probe):
        super().__init__()
        self._driver = driver
        self._peers = peers
        self._probe = probe
        driver.on(crashes.AskOpinions, lambda command: self.spawn(self._ask(command)))
        peers.set_judge(self.judge)

    async def _ask(self, command):
        """Ask this host itself and some peers, and report what they found."""
        incarnation = command.incarnation
        own, *others = await asyncio.gather(
            self.judge(incarnation, command.address),
            *(
                self._peers.ask_opinion(peer, incarnation, command.address)
                for peer in command.peers
            ),
        )
        _log.info(
            "Opinions of target {}, which refuses: {} here, {} at peers.",
            incarnation.name,
            own.value,
            ", ".join(verdict.value for verdict in others) or "none asked",
        )
        self._driver.feed(crashes.OpinionsHeard(incarnation, own, tuple(others)))

    async def judge(self, incarnation, address):
        """Return this host's own `crashes.Verdict` of a target's incarnation."""
        match await self._probe.is_refused(address):
            case None:
                return _Verdict.UNKNOWN
            case False:
                return _Verdict.LIVES
        beside = self._driver.core.crashes.addresses_beside(incarnation)
        answers = await asyncio.gather(*map(self._probe.answers, beside))
        return _Verdict.ENDED if any(answers) else _Verdict.UNKNOWN
