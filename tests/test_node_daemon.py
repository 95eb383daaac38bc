"""Node processes: settings, metrics, reload, graceful stop, blocked log readers."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import urllib.request

import pytest

ROOT = pathlib.Path(__file__).parent.parent
STARTER = "import sys; from merlinthread.platform import main; sys.exit(main.main(sys.argv[1:]))"

# Each process gets its own address, on which nothing else listens.
NETWORK = f"127.{64 + os.getpid() // 250 % 128}.{os.getpid() % 250}"
ADDRESSES = (f"{NETWORK}.{number}" for number in range(100, 250))
FRONT_PORT, READY_PORT, METRICS_PORT = 8005, 8002, 9464


def make_settings(ip: str, seeds: list[str]) -> dict:
    return {
        "node_name": "entry-1",
        "ip": ip,
        "zone": "z",
        "port_range": [7700, 7703],
        "seeds": seeds,
        "listen": {"front": f"{ip}:{FRONT_PORT}", "ready": f"{ip}:{READY_PORT}"},
        "bounds": {"grace_s": 3},
    }


@pytest.fixture
def entry(tmp_path):
    """Start an entry process; return it with its address and its settings file."""
    ip = next(ADDRESSES)
    path = tmp_path / "node.json"
    path.write_text(json.dumps(make_settings(ip, ["127.0.0.1:1"])))
    process = subprocess.Popen(
        [sys.executable, "-c", STARTER, "entry", str(METRICS_PORT)],
        env=os.environ | {"MERLINTHREAD_CONFIG": str(path)},
        stdout=subprocess.PIPE,
        cwd=ROOT,
    )
    yield process, ip, path
    process.kill()
    process.wait()


def status(url: str) -> int:
    try:
        return urllib.request.urlopen(url, timeout=1).status
    except urllib.error.HTTPError as error:
        return error.code
    except OSError:
        return 0


def read_log_until(process, event: str) -> list[dict]:
    lines = []
    for raw in process.stdout:
        lines.append(json.loads(raw))
        if lines[-1]["event"] == event:
            return lines
    raise AssertionError(f"{event} was never logged")


def test_entry_without_a_configuration_runs_but_is_not_ready(entry):
    process, ip, _ = entry
    read_log_until(process, "started")
    assert status(f"http://{ip}:{READY_PORT}/readyz") == 503
    assert status(f"http://{ip}:{FRONT_PORT}/any") == 503
    text = urllib.request.urlopen(f"http://{ip}:{METRICS_PORT}/metrics", timeout=1).read()
    assert b"merlinthread_refusals_total" in text


def test_changed_settings_are_reloaded_and_invalid_ones_refused(entry):
    process, ip, path = entry
    read_log_until(process, "started")
    path.write_text(json.dumps(make_settings(ip, ["127.0.0.9:1"])))
    assert read_log_until(process, "reloaded")[-1]["controls"] == ["127.0.0.9"]
    path.write_text("{")
    read_log_until(process, "reload_refused")
    process.send_signal(signal.SIGHUP)
    read_log_until(process, "reload_refused")
    assert process.poll() is None


def test_graceful_stop_ends_within_grace_s(entry):
    process, _, _ = entry
    read_log_until(process, "started")
    started_at = time.monotonic()
    process.send_signal(signal.SIGTERM)
    read_log_until(process, "stopped")
    assert process.wait(5) == 0
    assert time.monotonic() - started_at < 3.5


def test_blocked_log_reader_does_not_block_requests(entry):
    process, ip, _ = entry
    read_log_until(process, "started")
    # Nothing reads the pipe from here on: it fills, and the entry must go on responding.
    for _ in range(1500):
        assert status(f"http://{ip}:{FRONT_PORT}/any") == 503
    assert process.poll() is None


def test_invalid_arguments_print_the_usage():
    completed = subprocess.run(
        [sys.executable, "-c", STARTER, "nothing"], capture_output=True, text=True, cwd=ROOT
    )
    assert completed.returncode == 2 and "usage" in completed.stderr


def test_missing_settings_file_is_reported(tmp_path):
    completed = subprocess.run(
        [sys.executable, "-c", STARTER, "entry"],
        env=os.environ | {"MERLINTHREAD_CONFIG": str(tmp_path / "none.json")},
        capture_output=True,
        text=True,
        cwd=ROOT,
    )
    assert completed.returncode == 2 and "none.json" in completed.stderr


def test_deploy_file_refers_to_existing_files():
    text = (ROOT / "deploy" / "system.toml").read_text()
    for name in ("deploy/build.sh", "deploy/node.py"):
        assert name in text and (ROOT / name).exists()
