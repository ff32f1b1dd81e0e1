"""Tests of starting the processes of a fleet."""

import pytest

from sesamespindle.lab import processes


def test_start_error_tells_an_ended_process_from_a_slow_one(go, tmp_path, monkeypatch):
    """Guards against a start error that does not say if the process ended or was slow.

    A process that failed at once and one that was starved of processor time on a busy
    machine gave the same message, which hid whether the code or the time limit was
    at fault.
    """
    with pytest.raises(processes.StartError, match=r"a ended with exit code 1 "):
        go(processes.start("a", ["no_such_module"], tmp_path))
    monkeypatch.setattr(processes, "_START_TIMEOUT", 0.0)
    with pytest.raises(
        processes.StartError, match=r"a did not announce its address within 0 s "
    ):
        go(processes.start("a", ["http.server", "0"], tmp_path))


def test_processes_keep_the_compiled_code_of_modules(go, tmp_path, monkeypatch):
    """Guards against daemons that compile all modules at each start.

    Those of a fleet that starts on a busy machine were then not ready in time.
    """
    monkeypatch.setenv("PYTHONDONTWRITEBYTECODE", "1")
    monkeypatch.setenv("PYTHONPATH", str(tmp_path))
    (tmp_path / "imported.py").write_text("")
    (tmp_path / "announcing.py").write_text("import imported\nprint('{}', flush=True)")
    process = go(processes.start("a", ["announcing"], tmp_path))
    go(process.stop())
    assert list(tmp_path.glob("__pycache__/imported.*.pyc"))
