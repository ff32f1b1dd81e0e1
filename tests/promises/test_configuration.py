"""An accepted configuration becomes active at every entry and is never reverted.

Concurrent changes, lost answers of the platform, stale reads and unreachable entries
could lose a change, apply it twice or bring back an older revision.
"""

import asyncio
import json
import re
import shutil
import signal

import pytest
import pytest_bdd

pytest_bdd.scenarios("configuration.feature")


@pytest.fixture(scope="module")
def running_fleet(start_fleet):
    return start_fleet(
        engines=0,
        store_hosts=0,
        services=0,
        data_centres=1,
        settings={"policy": {"suspect_after": "1500 ms", "grant_lifetime": "3 s"}},
    )


class Operator:
    """An operator with its own folder of declarations.

    The base file records the revision that the folder was checked out at, so that
    `apply` can tell the operator's own changes from those of others.

    Attributes
    ----------
    code : int or None
        Exit code of the last `apply`.
    changed : dict
        The concurrency that the operator has set, by account.
    output : str
        Output of the last `apply`.
    """

    def __init__(self, running_fleet, root, name):
        self.running_fleet = running_fleet
        self.folder = root / name
        self.base = root / f"{name}.base"
        self.code = None
        self.changed = {}
        self.output = ""

    async def check_out(self):
        """Copy the latest published folder and its base.

        The first call publishes the example's folder and applies it.
        """
        source = self.running_fleet.plan.folder / "latest"
        if not source.exists():
            shutil.copytree(self.running_fleet.plan.example, source)
        shutil.copytree(source, self.folder)
        latest = self.running_fleet.plan.folder / "latest.base"
        if latest.exists():
            shutil.copy(latest, self.base)
        else:
            await self.apply()
            shutil.copy(self.base, latest)

    def change(self, account, concurrency):
        """Set the concurrency of an account's contract in the folder."""
        path = self.folder / "contracts.yaml"
        pattern = rf"(name: {account}\nconcurrency: )\d+"
        text, count = re.subn(pattern, rf"\g<1>{concurrency}", path.read_text())
        assert count == 1
        path.write_text(text)
        self.changed[account] = concurrency

    async def apply(self, *options):
        arguments = ("apply", str(self.folder), "--base", str(self.base), *options)
        self.code, self.output = await self.running_fleet.cli(*arguments)

    def publish(self):
        """Publish this folder as the one that `check_out` copies from now on."""
        latest = self.running_fleet.plan.folder / "latest"
        shutil.rmtree(latest)
        shutil.copytree(self.folder, latest)
        shutil.copy(self.base, self.running_fleet.plan.folder / "latest.base")


async def active_concurrency(running_fleet, account):
    """Return the active concurrency limit of an account by entry name."""
    found = {}
    for name in running_fleet.entry_names:
        for row in (await running_fleet.status(name))["accounts"]:
            if row["name"] == account:
                found[name] = row["concurrency"]
    return found


async def revision_by_entry(running_fleet):
    return {
        name: (await running_fleet.status(name))["revision"]
        for name in running_fleet.entry_names
    }


async def wait_until_active(running_fleet, account, concurrency):
    async def is_active_everywhere():
        found = await active_concurrency(running_fleet, account)
        return set(found.values()) == {concurrency}

    await running_fleet.until(is_active_everywhere)


@pytest.fixture
def operators(running_fleet, go, tmp_path):
    created = [Operator(running_fleet, tmp_path, name) for name in ("anna", "bram")]
    for operator in created:
        go(operator.check_out())
    return created


def apply_at_once(go, operators):
    async def run():
        await asyncio.gather(*(operator.apply() for operator in operators))

    go(run())


@pytest_bdd.when("two operators change two contracts at once")
def change_two(operators, go):
    anna, bram = operators
    anna.change("training", 7)
    bram.change("delegates", 39)
    apply_at_once(go, operators)


@pytest_bdd.when("a second operator applies a folder that lacks the first one's change")
def apply_outdated_folder(operators, go):
    anna, bram = operators
    anna.change("training", 9)
    go(anna.apply())
    bram.change("delegates", 41)
    go(bram.apply())


@pytest_bdd.then("both changes are accepted and active at every entry")
def both_are_active(running_fleet, operators, go):
    anna, bram = operators
    assert [anna.code, bram.code] == [0, 0], anna.output + bram.output
    go(wait_until_active(running_fleet, "training", anna.changed["training"]))
    go(wait_until_active(running_fleet, "delegates", bram.changed["delegates"]))
    # Publish a folder that holds both changes.
    anna.change("delegates", bram.changed["delegates"])
    go(anna.apply())
    assert anna.code == 0, anna.output
    anna.publish()


@pytest_bdd.when("two operators change the same contract at once")
def change_same(operators, go):
    anna, bram = operators
    anna.change("parliament", 47)
    bram.change("parliament", 46)
    apply_at_once(go, operators)


@pytest_bdd.then("one is accepted, and the refusal of the other names the contract")
def one_is_refused(running_fleet, operators, go):
    codes = sorted(operator.code for operator in operators)
    # Exit code 4 tells of a conflict with another change.
    assert codes == [0, 4]
    winner = next(operator for operator in operators if operator.code == 0)
    loser = next(operator for operator in operators if operator.code == 4)
    assert "Contract/parliament" in loser.output
    wanted = 47 if winner is operators[0] else 46
    go(wait_until_active(running_fleet, "parliament", wanted))
    winner.publish()


@pytest_bdd.when("two operators each use up the rest of the pool's concurrency")
def use_up_concurrency(operators, go):
    # The contracts for pool glossary-assistant leave about 40 of its concurrency limit
    # of 400. Each change fits into these, but not both together.
    anna, bram = operators
    anna.change("ministry-of-health", 95)
    bram.change("ministry-of-justice", 80)
    apply_at_once(go, operators)


@pytest_bdd.then("one is accepted, and the refusal of the other names the pool's limit")
def excess_is_refused(operators):
    codes = sorted(operator.code for operator in operators)
    assert codes == [0, 4], [operator.output for operator in operators]
    loser = next(operator for operator in operators if operator.code == 4)
    assert "limits_over_pool" in loser.output
    next(operator for operator in operators if operator.code == 0).publish()


@pytest_bdd.when("an operator applies a change while the platform's answers are lost")
def apply_with_lost_answers(running_fleet, operators, go):
    async def run():
        revision_before = max((await revision_by_entry(running_fleet)).values())
        operators[0].change("interpreters", 90)
        await running_fleet.fault("platform", lose_answers=4)
        await operators[0].apply("--wait")
        await running_fleet.fault("platform", lose_answers=0)
        return revision_before

    running_fleet.revision_before = go(run())


@pytest_bdd.then("the revision rose by one and the change is active at every entry")
def rose_by_one(running_fleet, operators, go):
    assert operators[0].code == 0, operators[0].output
    assert set(go(revision_by_entry(running_fleet)).values()) == {
        running_fleet.revision_before + 1
    }
    go(wait_until_active(running_fleet, "interpreters", 90))
    operators[0].publish()


@pytest_bdd.when(
    "a new entry starts that can't reach the platform, and a change is applied"
)
def start_without_platform(running_fleet, operators, go):
    async def run():
        peer = running_fleet.process_by_name["entry-1"].announced["peer_address"]
        await running_fleet.start_entry(
            "entry-9", "kgl-1", platform_url="http://127.0.0.1:1", seeds=[peer]
        )
        operators[0].change("interpreters", 91)
        await operators[0].apply()
        assert operators[0].code == 0, operators[0].output
        operators[0].publish()

    go(run())


@pytest_bdd.then("the change is active at that entry too")
def is_active_there(running_fleet, go):
    go(wait_until_active(running_fleet, "interpreters", 91))
    assert "entry-9" in go(active_concurrency(running_fleet, "interpreters"))


@pytest_bdd.when("a change is applied and an entry starts while reads are stale")
def start_with_stale_reads(running_fleet, operators, go):
    async def run():
        operators[0].change("interpreters", 92)
        await operators[0].apply("--wait")
        assert operators[0].code == 0, operators[0].output
        operators[0].publish()
        await running_fleet.fault("platform", stale_reads=True)
        await running_fleet.process_by_name["entry-3"].stop()
        await running_fleet.start_entry("entry-3", "kgl-1")
        await wait_until_active(running_fleet, "interpreters", 92)
        await running_fleet.fault("platform", stale_reads=False)

    go(run())


@pytest_bdd.when("an entry starts during an outage with a stale peer as its seed")
def start_beside_stale_peer(running_fleet, operators, go):
    async def run():
        stale = running_fleet.process_by_name["entry-2"]
        seed = stale.announced["peer_address"]
        stale.send_signal(signal.SIGSTOP)
        operators[0].change("interpreters", 93)
        await operators[0].apply()
        assert operators[0].code == 0, operators[0].output
        operators[0].publish()
        others = [name for name in running_fleet.entry_names if name != "entry-2"]

        async def known_to_others():
            found = [await running_fleet.status(name) for name in others]
            return len({status["revision"] for status in found}) == 1

        await running_fleet.until(known_to_others)
        await running_fleet.fault("platform", away=True)
        await running_fleet.process_by_name["entry-3"].kill()
        stale.send_signal(signal.SIGCONT)
        await running_fleet.start_entry("entry-3", "kgl-1", seeds=[seed])
        await wait_until_active(running_fleet, "interpreters", 93)
        await running_fleet.fault("platform", away=False)

    go(run())


@pytest_bdd.then("every entry's revisions only rise, up to the latest")
def revisions_rise(running_fleet, go):
    revisions_by_entry = {}

    async def all_have_reported():
        # The platform's list of hosts lags behind, so a restarted entry becomes
        # reachable at its new address only after a while.
        code, output = await running_fleet.cli("timeline", "--json")
        assert code == 0, output
        revisions_by_entry.clear()
        for item in json.loads(output):
            if item["kind"] == "revision":
                revisions_by_entry.setdefault(item["daemon"], []).append(
                    int(item["subject"])
                )
        return revisions_by_entry.keys() >= {"entry-1", "entry-2", "entry-3"}

    go(running_fleet.until(all_have_reported))
    assert len({seen[-1] for seen in revisions_by_entry.values()}) == 1
    for seen in revisions_by_entry.values():
        assert seen == sorted(set(seen))
