"""Checking that each failure test fails once its guard is taken out."""

import asyncio
import dataclasses
import os
import pathlib
import shlex
import shutil
import sys
import tempfile

import yaml

_LIST = pathlib.Path(__file__).with_name("guards.yaml")
_PACKAGES = pathlib.Path("packages")
_TEST_FAILED = 1
_MOST_SECONDS = 240.0


@dataclasses.dataclass(frozen=True)
class Guard:
    """A guard of the product, and the test that needs it."""

    name: str
    file: str
    guard: str
    without: str
    test: str
    also: dict = dataclasses.field(default_factory=dict)


class GuardError(Exception):
    """A guard that is listed does not stand in its file."""

    code = "guard"


def read():
    """Return the guards that are listed."""
    items = yaml.safe_load(_LIST.read_text("utf-8"))
    return [Guard(**item) for item in items]


async def check(guard):
    """Run a guard's test on a copy without it; return whether the test failed.

    The copy goes before the installed packages on the path of the test and of
    all processes that it starts.
    """
    with tempfile.TemporaryDirectory() as folder:
        copies = []
        for package in _PACKAGES.iterdir():
            copy = pathlib.Path(folder) / package.name
            shutil.copytree(package, copy)
            copies.append(str(copy))
        _take_out(guard, pathlib.Path(folder))
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "pytest",
            # In one process: spread over several, a first failure that stops the
            # run is reported as an interruption.
            "-n",
            "0",
            "-x",
            "-p",
            "no:cacheprovider",
            *shlex.split(guard.test),
            env=os.environ | {"PYTHONPATH": os.pathsep.join(copies)},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await child.communicate()
    if child.returncode not in (0, _TEST_FAILED):
        raise GuardError(f"{guard.name}: the test did not run.\n{output.decode()}")
    return child.returncode == _TEST_FAILED


def _take_out(guard, folder):
    path = folder / guard.file
    text = path.read_text("utf-8")
    for standing, instead in {guard.guard: guard.without, **guard.also}.items():
        if text.count(standing) != 1:
            raise GuardError(f"{guard.name}: stands {text.count(standing)} times.")
        text = text.replace(standing, instead)
    path.write_text(text, "utf-8")


async def run(show, wanted=""):
    """Check all guards and return the names of those whose test still passed."""
    missed = []
    for guard in read():
        if wanted not in guard.name:
            continue
        failed = await check(guard)
        show(f"{'fails without' if failed else 'PASSES WITHOUT'}: {guard.name}.")
        if not failed:
            missed.append(guard.name)
    return missed
