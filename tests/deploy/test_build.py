"""Builds replace the daemon's code while daemons start and load it.

Guards against a daemon that starts during a build of its checkout and ends with an
ImportError, or loads some modules of the old code and some of the new. Both happen
when a build removes the installed code and copies the new code file by file.
"""

import os
import pathlib
import shutil
import signal
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent.parent
# The folders whose code the build copies, in the order in which it copies them.
PACKAGES = ["packages/decide", "packages/declare", "packages/wire", "packages/daemon"]
PACKAGES = [*PACKAGES, "platform"]
# A module in the first package that the build copies, and one in the last.
MODULES = ["sesamespindle.decide.first", "sesamespindle.platform.last"]
# A daemon that prints which version of each module it loads, then whether the modules
# were already compiled.
DAEMON = f"""
import importlib, pathlib, sys
sys.dont_write_bytecode = True
loaded = [importlib.import_module(name) for name in {MODULES}]
compiled = all(pathlib.Path(module.__cached__).exists() for module in loaded)
words = [*(module.VERSION for module in loaded), "compiled" if compiled else "slow"]
# One write: daemons of concurrent builds append to one file.
sys.stdout.write(" ".join(words) + "\\n")
"""
# A daemon that prints the version of its first module, and loads the last module only
# when it gets a line on standard input.
LATE_DAEMON = f"""
import importlib
print(importlib.import_module("{MODULES[0]}").VERSION, flush=True)
input()
print(importlib.import_module("{MODULES[1]}").VERSION)
"""
# Replaces a program that the build calls: starts a daemon, runs the program, and starts
# another daemon.
WRAPPER = """#!/bin/sh
PATH="{path}"
start_daemon() {{
    PYTHONPATH="{deps}" "{python}" -S "{daemon}" >> "{output_file}" 2>&1
}}
start_daemon
"$(basename "$0")" "$@"
code=$?
start_daemon
exit $code
"""
PROGRAMS = ["cp", "ln", "mkdir", "mv", "python3", "rm", "touch"]


class Checkout:
    """A copy of the files that a build needs, with all libraries marked as installed.

    Parameters
    ----------
    folder : pathlib.Path
        The folder of the copy.
    excluded : list of str
        Patterns of files that are not copied.
    """

    def __init__(self, folder, excluded=("[!_]*.py", "__pycache__")):
        self.folder = folder
        self.deps = folder / "target" / "deps"
        self.package = self.deps / "sesamespindle"
        for source in PACKAGES:
            shutil.copytree(
                ROOT / source / "sesamespindle",
                folder / source / "sesamespindle",
                ignore=shutil.ignore_patterns(*excluded),
            )
        shutil.copytree(ROOT / "deploy", folder / "deploy")
        self.deps.mkdir(parents=True)
        lock_time = (folder / "deploy" / "requirements.lock").stat().st_mtime
        stamp = self.deps / ".installed"
        stamp.touch()
        os.utime(stamp, (lock_time + 1, lock_time + 1))

    def write_version(self, version):
        """Change one module in the first and one in the last package."""
        for source, name in zip((PACKAGES[0], PACKAGES[-1]), MODULES, strict=True):
            path = self.folder / source / f"{name.replace('.', '/')}.py"
            path.write_text(f'"""A version."""\n\nVERSION = "{version}"\n')

    def start_build(self, path=None):
        environment = os.environ | ({"PATH": path} if path else {})
        return subprocess.Popen(
            ["bash", "deploy/build.sh"], cwd=self.folder, env=environment
        )

    def build(self, path=None):
        assert self.start_build(path).wait() == 0

    def start(self, program):
        """Start a program that can import only the installed code, as a daemon does."""
        return subprocess.Popen(
            [sys.executable, "-S", "-c", program],
            env={"PYTHONPATH": str(self.deps)},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )

    def daemon_output(self):
        """Return the output of a daemon that starts now."""
        return self.start(DAEMON).communicate()[0].strip()

    def wrap_programs(self):
        """Replace the programs of the build by ones that also start daemons.

        Returns
        -------
        path : str
            The PATH under which a build finds them.
        output_file : pathlib.Path
            The file with the output of the daemons.
        """
        folder = self.folder / "programs"
        folder.mkdir()
        output_file, daemon = folder / "seen", folder / "daemon.py"
        daemon.write_text(DAEMON)
        text = WRAPPER.format(
            path=os.environ["PATH"],
            deps=self.deps,
            python=sys.executable,
            daemon=daemon,
            output_file=output_file,
        )
        for program in PROGRAMS:
            (folder / program).write_text(text)
            (folder / program).chmod(0o755)
        return f"{folder}{os.pathsep}{os.environ['PATH']}", output_file

    def install_unversioned(self):
        """Install the code without versions, as earlier forms of the build did."""
        for source in PACKAGES:
            shutil.copytree(
                self.folder / source / "sesamespindle",
                self.package,
                dirs_exist_ok=True,
            )
        subprocess.run(
            [sys.executable, "-m", "compileall", "-q", self.package], check=True
        )

    def files(self):
        """Return the inode and times of each file and folder of the installed code."""
        found = {}
        for path in [self.package, *self.package.rglob("*")]:
            status = path.lstat()
            found[path] = status.st_ino, status.st_mtime_ns, status.st_ctime_ns
        return found


@pytest.fixture
def checkout(tmp_path):
    """Return a checkout with few modules that has never been built."""
    new_checkout = Checkout(tmp_path)
    new_checkout.write_version("old")
    return new_checkout


def test_a_clean_checkout_is_built(checkout):
    checkout.build()
    assert checkout.daemon_output() == "old old compiled"


def test_all_files_of_the_code_are_installed(tmp_path):
    checkout = Checkout(tmp_path, excluded=[])
    checkout.build()
    program = """
import importlib, pathlib
for name in ("decide", "declare", "wire", "daemon", "platform"):
    package = importlib.import_module(f"sesamespindle.{name}")
    folder = pathlib.Path(package.__file__).parent
    for path in folder.rglob("*"):
        if path.is_file() and path.suffix != ".pyc":
            print(name, path.relative_to(folder))
"""
    output, _ = checkout.start(program).communicate()
    wanted = {
        f"{source.split('/')[-1]} {path.relative_to(folder)}"
        for source in PACKAGES
        for folder in [
            checkout.folder / source / "sesamespindle" / source.split("/")[-1]
        ]
        for path in folder.rglob("*")
        if path.is_file() and path.suffix != ".pyc"
    }
    assert set(output.splitlines()) == wanted


def test_a_build_without_changes_touches_no_file(checkout):
    checkout.build()
    before = checkout.files()
    checkout.build()
    assert checkout.files() == before


@pytest.mark.parametrize(
    "is_unversioned", [False, True], ids=["versioned", "unversioned"]
)
def test_daemons_that_start_during_a_build_load_one_version(checkout, is_unversioned):
    """Daemons start before and after each step of a build that changes the code.

    Guards against a daemon that finds no module at all, because the old code is removed
    and the new code not yet copied, or finds only the first package of the new code.
    """
    if is_unversioned:
        checkout.install_unversioned()
    else:
        checkout.build()
    checkout.write_version("new")
    path, output_file = checkout.wrap_programs()
    checkout.build(path)
    outputs = output_file.read_text().splitlines()
    assert set(outputs) == {"old old compiled", "new new compiled"}
    assert outputs == sorted(outputs, reverse=True)
    assert checkout.daemon_output() == "new new compiled"


@pytest.mark.parametrize(
    "is_unversioned", [False, True], ids=["versioned", "unversioned"]
)
def test_a_daemon_that_loads_modules_during_a_build_keeps_its_version(
    checkout, is_unversioned
):
    """The code changes when a daemon has loaded half of its modules.

    Guards against a daemon that loads the other half from the new code, which doesn't
    fit the first half.
    """
    if is_unversioned:
        checkout.install_unversioned()
    else:
        checkout.build()
    daemon = checkout.start(LATE_DAEMON)
    assert daemon.stdout.readline() == "old\n"
    checkout.write_version("new")
    checkout.build()
    assert daemon.communicate("\n")[0] == "old\n"
    assert checkout.daemon_output() == "new new compiled"


def test_old_versions_are_removed(checkout):
    """A build keeps the three latest versions of the code."""
    checkout.install_unversioned()
    kept_counts = []
    for number in range(6):
        checkout.write_version(f"{number}")
        checkout.build()
        assert checkout.daemon_output() == f"{number} {number} compiled"
        kept_counts.append(sum(1 for _ in checkout.package.rglob("last.py")))
    assert kept_counts[-1] == kept_counts[-2] == 3


def test_a_version_that_is_built_again_counts_as_recent(checkout):
    """The code changes back to an earlier version, which then counts as recent.

    Guards against a build that removes it by age while daemons still load from it.
    """
    for version in ("back", "1", "2", "back", "3"):
        checkout.write_version(version)
        checkout.build()
    daemon = checkout.start(LATE_DAEMON)
    assert daemon.stdout.readline() == "3\n"
    checkout.write_version("back")
    checkout.build()
    assert checkout.daemon_output() == "back back compiled"
    assert daemon.communicate("\n")[0] == "3\n"


def test_concurrent_builds_do_not_interfere(checkout):
    """Two builds of one checkout run at once, while daemons start.

    Guards against a daemon that misses modules because one build has copied them and
    the other has removed them.
    """
    checkout.build()
    checkout.write_version("new")
    path, output_file = checkout.wrap_programs()
    builds = [checkout.start_build(path) for _ in range(2)]
    assert [build.wait() for build in builds] == [0, 0]
    outputs = set(output_file.read_text().splitlines())
    assert outputs <= {"old old compiled", "new new compiled"}
    assert checkout.daemon_output() == "new new compiled"


def test_a_build_after_a_killed_one_succeeds(checkout):
    """A build is killed in the middle; its incomplete files are never used."""
    checkout.build()
    checkout.write_version("new")
    path, _ = checkout.wrap_programs()
    kill = checkout.folder / "programs" / "mv"
    kill.write_text("#!/bin/sh\nkill -KILL $PPID\n")
    assert checkout.start_build(path).wait() == -signal.SIGKILL
    assert checkout.daemon_output() == "old old compiled"
    checkout.build()
    assert checkout.daemon_output() == "new new compiled"
