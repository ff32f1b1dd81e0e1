"""Check that each guard has a test that fails without it.

A guard is a piece of code that prevents a certain failure. ``guards.yaml`` lists the
guards. For each one, the code is removed from a copy of the packages and the guard's
test is run on the copy; the test must fail.
"""

import asyncio
import dataclasses
import os
import pathlib
import shlex
import shutil
import sys
import tempfile

import yaml

_GUARDS_FILE = pathlib.Path(__file__).with_name("guards.yaml")
_PACKAGES = pathlib.Path("packages")
# The package that speaks to the users' platform, outside the folder of the others.
_PLATFORM = pathlib.Path("platform")
_PYTEST_EXIT_TESTS_FAILED = 1
_MOST_SECONDS = 240.0


@dataclasses.dataclass(frozen=True)
class Guard:
    """A guard, how to remove it, and the test that must fail without it.

    Attributes
    ----------
    name : str
        A description of the guard.
    file : str
        The file that contains the guard, relative to the folder of the packages.
    guard : str
        The source text of the guard, which must occur exactly once in the file.
    without : str
        The text that replaces it.
    test : str
        Arguments of pytest that select the test.
    also : dict
        Further texts to replace in the same file, with their replacements.
    """

    name: str
    file: str
    guard: str
    without: str
    test: str
    also: dict = dataclasses.field(default_factory=dict)


class GuardError(Exception):
    """Raised when a guard cannot be checked.

    Its text does not occur exactly once in its file, or its test could not be run.
    """

    code = "guard"


def read():
    """Return the guards listed in ``guards.yaml``."""
    items = yaml.safe_load(_GUARDS_FILE.read_text("utf-8"))
    return [Guard(**item) for item in items]


async def check(guard):
    """Run a guard's test on a copy of the packages without the guard.

    PYTHONPATH puts the copy before the installed packages, for the test and for all
    processes that it starts.

    Returns
    -------
    bool
        Whether the test failed, as it must.

    Raises
    ------
    GuardError
        If the guard is not in its file exactly once, or the test did not run.
    """
    with tempfile.TemporaryDirectory() as folder:
        copies = []
        for package in (*_PACKAGES.iterdir(), _PLATFORM):
            copy = pathlib.Path(folder) / package.name
            shutil.copytree(package, copy)
            copies.append(str(copy))
        _remove_guard(guard, pathlib.Path(folder))
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "pytest",
            # Run the tests in one process. With several workers, pytest reports a run
            # that -x stops as interrupted, not as failed.
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
    if child.returncode not in (0, _PYTEST_EXIT_TESTS_FAILED):
        raise GuardError(
            f"{guard.name}: pytest did not run the test.\n{output.decode()}"
        )
    return child.returncode == _PYTEST_EXIT_TESTS_FAILED


def _remove_guard(guard, folder):
    path = folder / guard.file
    text = path.read_text("utf-8")
    for original, replacement in {guard.guard: guard.without, **guard.also}.items():
        if text.count(original) != 1:
            raise GuardError(
                f"{guard.name}: text found {text.count(original)} times, not once."
            )
        text = text.replace(original, replacement)
    path.write_text(text, "utf-8")


async def run(show, wanted=""):
    """Check the guards whose name contains `wanted`.

    Return the names of those whose test passed without them.
    """
    missed = []
    for guard in read():
        if wanted not in guard.name:
            continue
        failed = await check(guard)
        show(
            f"{'test fails without' if failed else 'TEST PASSES WITHOUT'}: "
            f"{guard.name}."
        )
        if not failed:
            missed.append(guard.name)
    return missed
