"""Entries log response headers of back ends that they do not know, once for each name.

Guards against back ends that ask for less work in headers which entries ignore silently.
"""

import asyncio

import pytest

from merlinthread import logs, metrics
from merlinthread.nodes import signal_recorder
from merlinthread.platform import dialect, names
from tests import single_entry_fleet


def unread_headers(headers) -> frozenset[str]:
    return dialect.PlatformDialect().parse_response_head(200, headers).unknown_headers


def test_unknown_header_is_reported_and_http_headers_are_not():
    headers = [(b"Server-Mood", b"3"), (b"Content-Length", b"0"), (b"Date", b"x")]
    assert unread_headers(headers) == {"server-mood"}


@pytest.mark.parametrize(
    "name", sorted(names.READ_RESPONSE_HEADERS | names.IGNORED_RESPONSE_HEADERS)
)
def test_read_or_ignored_header_is_not_reported(name):
    assert unread_headers([(name, b"1")]) == frozenset()


def test_unknown_header_is_logged_once_with_its_instance(monkeypatch):
    events = []
    monkeypatch.setattr(logs, "event", lambda name, **fields: events.append((name, fields)))

    async def scenario():
        fleet = await single_entry_fleet.SingleEntryFleet("safe", 2, work_s=0.0).start()
        for worker in fleet.workers:
            worker.behaviour.extra_headers = [(b"Server-Mood", b"3")]
        for _ in range(6):
            assert (await fleet.request()).status == 200

    asyncio.run(scenario())
    logged = [fields for name, fields in events if name == "answer_word_unread"]
    assert [fields["header"] for fields in logged] == ["server-mood"]
    assert logged[0]["instance"] in ("i-0", "i-1") and logged[0]["request"]


def test_number_of_logged_header_names_is_bounded(monkeypatch):
    events = []
    monkeypatch.setattr(logs, "event", lambda name, **fields: events.append(name))
    recorder = signal_recorder.SignalRecorder(None, None, lambda: 0.0)  # type: ignore[arg-type]
    for number in range(10 * signal_recorder.UNREAD_HEADERS_MAX):
        recorder.record_unread_headers([f"x-{number}"], "i-0", "id-1")
    assert len(recorder.unread_headers) == len(events) == signal_recorder.UNREAD_HEADERS_MAX
    assert metrics.unread_words._value.get() == signal_recorder.UNREAD_HEADERS_MAX
