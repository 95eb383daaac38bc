"""The log of counted bytes beside resident memory.

Guards against a process over its memory whose log does not tell which bytes were not counted.
"""

import pytest

from merlinthread import logs
from merlinthread.coordination import held_bytes
from merlinthread.transport import process_memory

MIB = 1024 * 1024
FIELDS = {"counted_bytes", "counted_bytes_max", "memory_bytes", "resident_bytes", "clients"}


@pytest.fixture
def events(monkeypatch):
    """Return the list of events logged, each a name and fields."""
    logged = []
    monkeypatch.setattr(logs, "event", lambda name, /, **fields: logged.append((name, fields)))
    return logged


def do_nothing(now: float) -> None:
    pass


def open_budget(now):
    """Return a budget of 16 MiB in a process with 64 MiB, a holder and the log."""
    budget = held_bytes.Budget(lambda: now[0], 16 * MIB)
    memory_log = process_memory.MemoryLog(budget, 64 * MIB, lambda: now[0])
    budget.observer = memory_log
    return budget.open(do_nothing, do_nothing), memory_log


def test_each_new_peak_is_logged_with_counted_and_resident_bytes(events):
    holder, _ = open_budget([0.0])
    for _ in range(3):
        for _ in range(5):
            holder.add(MIB // 2)
        holder.add(-5 * MIB // 2)
    names = [(name, fields["counted_bytes"] // MIB) for name, fields in events]
    assert names == [("memory_peak", 1), ("memory_peak", 2), ("memory_peak_over", 0)]
    for _, fields in events:
        assert fields.keys() >= FIELDS and fields["resident_bytes"] > MIB
        assert fields["resident_peak_bytes"] >= fields["resident_bytes"]


def test_refusals_are_logged_once_a_second_with_the_number_left_out(events):
    now = [5.0]
    _, memory_log = open_budget(now)
    for now[0] in (5.0, 5.2, 5.4, 6.5):
        memory_log.record_refusal(4 * MIB)
    assert [(name, fields["left_out"]) for name, fields in events] == [
        ("memory_refused", 0),
        ("memory_refused", 2),
    ]
    assert events[0][1]["refused_bytes"] == 4 * MIB


def test_process_without_a_status_file_still_logs(events, monkeypatch, tmp_path):
    monkeypatch.setattr(process_memory, "STATUS_PATH", str(tmp_path / "missing"))
    _, memory_log = open_budget([0.0])
    memory_log.record_refusal(1)
    assert "missing" in events[0][1]["resident_unknown"]


@pytest.mark.parametrize("text", ["", "RssAnon:\t 12 kB\nVmHWM:\t 40 kB\nName:\tx\n"])
def test_status_is_parsed(text):
    memory = process_memory.parse_status(text)
    assert (memory.anonymous, memory.peak) == ((12 * 1024, 40 * 1024) if text else (0, 0))
