"""Bundles of the code of all modules, from which hosts start faster."""

import subprocess
import sys

import pytest

WRITE = """
import sys
import sample
from sesamespindle.platform import startbundle
startbundle.write(startbundle.path_of(sample), "sample.sub.leaf", sample)
"""
LOAD = """
import sys
import sample
from sesamespindle.platform import startbundle
startbundle.install(sample)
import sample.sub.leaf as leaf
import sample.sub
print(leaf.VALUE, leaf.__name__, leaf.__file__, sample.sub.__path__[0])
"""
PACKAGE = """
import os
__path__ = [os.path.join(os.path.dirname(__file__), "versions", "1")]
"""


@pytest.fixture
def libraries(tmp_path):
    """Return a folder with a package of one version, which has a nested module."""
    folder = tmp_path / "libraries"
    sub = folder / "sample" / "versions" / "1" / "sub"
    sub.mkdir(parents=True)
    (folder / "sample" / "bundles").mkdir()
    (folder / "sample" / "__init__.py").write_text(PACKAGE)
    (sub / "__init__.py").write_text("")
    (sub / "leaf.py").write_text("import sample\nVALUE = 'whole'\n")
    return folder


def run(program, libraries):
    process = subprocess.run(
        [sys.executable, "-c", program],
        env={"PYTHONPATH": str(libraries)},
        capture_output=True,
        text=True,
    )
    assert process.returncode == 0, process.stderr
    return process.stdout.split()


def bundle_of(libraries):
    return libraries / "sample" / "bundles" / "1"


def test_modules_from_the_bundle_equal_those_from_files(libraries):
    sub = libraries / "sample" / "versions" / "1" / "sub"
    without_bundle = run(LOAD, libraries)
    run(WRITE, libraries)
    (sub / "leaf.py").unlink()
    assert run(LOAD, libraries) == without_bundle
    assert without_bundle == [
        "whole",
        "sample.sub.leaf",
        str(sub / "leaf.py"),
        str(sub),
    ]


def test_a_bundle_may_be_moved_with_its_libraries(libraries):
    run(WRITE, libraries)
    moved = libraries.rename(libraries.with_name("moved"))
    value, _, file, _ = run(LOAD, moved)
    assert value == "whole"
    assert file.startswith(str(moved))


@pytest.mark.parametrize(
    "damage",
    [
        lambda path: path.unlink(),
        lambda path: path.write_bytes(b""),
        lambda path: path.write_bytes(path.read_bytes()[:60]),
        lambda path: path.write_bytes(b"\xff" * 100),
        lambda path: path.write_bytes(
            path.read_bytes().replace(sys.version.encode(), b"0" * len(sys.version))
        ),
    ],
    ids=["missing", "empty", "cut", "other", "of-another-python"],
)
def test_an_unusable_bundle_is_ignored(libraries, damage):
    """The bundle of a host is missing, damaged or of another version of Python.

    Guards against a start that fails with an error instead of loading the modules one
    by one.
    """
    run(WRITE, libraries)
    damage(bundle_of(libraries))
    assert run(LOAD, libraries)[0] == "whole"
