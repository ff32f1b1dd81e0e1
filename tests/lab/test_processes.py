"""Starting the processes of a fleet."""

import pytest

from sesamespindle.lab import processes


def test_a_process_that_ended_is_told_from_one_that_was_slow(go, tmp_path, monkeypatch):
    """A fleet did not start on a busy machine, and the error said no more than that.

    A process that fails at once and one that is starved of processor time gave
    the same words, so nobody could tell whether the limit or the code was at fault.
    """
    with pytest.raises(processes.StartError, match=r"a ended with exit code 1 "):
        go(processes.start("a", ["no_such_module"], tmp_path))
    monkeypatch.setattr(processes, "_START_SECONDS", 0.0)
    with pytest.raises(processes.StartError, match=r"a said nothing within 0 s "):
        go(processes.start("a", ["http.server", "0"], tmp_path))
