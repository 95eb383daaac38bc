"""Invalid settings, bundles and messages are rejected with a one-line error.

The error names the file, the field, its value and the remedy.
"""

import json
import pathlib
import subprocess
import sys

import pytest
from hypothesis import given
from hypothesis import strategies as st

from merlinthread import errors, settings
from merlinthread.protocol import bundle_file, codec, error_responses, messages

DIGEST = "0" * 64
VALID_SETTINGS = {
    "name": "entry-1",
    "availability_zone": "cuyo",
    "region": "west",
    "roles": ["entry"],
    "http": {"address": "127.0.0.1", "port": 8080},
    "bus": "127.0.0.1:9000",
    "entry": {"controls": ["127.0.0.1:9100"]},
}
VALID_BUNDLE = {
    "version": 1,
    "models": [{"name": "hint", "version": "v1", "manifest": DIGEST, "share_percent": 60}],
    "groups": [{"name": "solvers", "share_percent": 50, "accounts": ["a1"]}],
}


def with_value(base: dict, path: str, value: object) -> dict:
    """Return a copy with the value at a dotted path replaced, or removed if it is None."""
    copy = json.loads(json.dumps(base))
    parent = copy
    *parents, last = path.split(".")
    for part in parents:
        parent = parent[int(part) if part.isdigit() else part]
    if value is None:
        del parent[last]
    else:
        parent[last] = value
    return copy


@pytest.mark.parametrize(
    ("path", "value", "expected"),
    [
        ("colour", "red", "colour: 'red' is refused: this key is unknown"),
        ("http.address", "localhost", "http.address: 'localhost' is refused"),
        ("http.port", 99999, "http.port: 99999 is refused"),
        ("http.port", "80", "http.port: '80' is refused"),
        ("bus", "entry.example:9000", "bus: 'entry.example:9000' is refused"),
        ("entry.poll_every_s", "250ms", "entry.poll_every_s: '250ms' is refused"),
        ("entry.poll_every_s", -1, "entry.poll_every_s: -1 is refused"),
        ("entry", None, "role 'entry' needs a section 'entry'"),
        ("region", None, "region: this key is missing; add it"),
        ("roles", ["king"], "roles.0: 'king' is refused"),
        ("mesh_keys", ["abc"], "mesh_keys.0: 'abc' is refused"),
    ],
)
def test_bad_settings_name_file_key_value_and_remedy(path, value, expected):
    with pytest.raises(errors.SettingsError) as caught:
        settings.parse(json.dumps(with_value(VALID_SETTINGS, path, value)), "entry.json")
    assert caught.value.message.startswith("entry.json: ")
    assert expected in caught.value.message


def test_settings_may_have_comments():
    text = "// the entry of Cuyo\n" + json.dumps(VALID_SETTINGS)
    assert settings.parse(text, "entry.json").availability_zone == "cuyo"


@pytest.mark.parametrize(
    ("path", "value", "field"),
    [
        ("models.0.share_percent", 101, "models.0.share_percent"),
        ("models.0.manifest", None, "models.0.manifest"),
        ("models.0.manifest", "abc", "models.0.manifest"),
        ("groups.0.accounts", ["a1", "a1"], "groups.0.accounts"),
        ("groups", [], "groups"),
        ("version", 0, "version"),
        ("modles", [], "modles"),
        ("groups.0.share_percent", 50.5, "groups.0.share_percent"),
    ],
)
def test_bad_bundles_name_the_field(path, value, field):
    with pytest.raises(errors.BundleError) as caught:
        bundle_file.from_data(with_value(VALID_BUNDLE, path, value), "bundle.json")
    assert caught.value.field == field


def test_shares_over_100_percent_are_refused():
    more = [{"name": "crews", "share_percent": 51, "accounts": ["b1"]}]
    with pytest.raises(errors.BundleError, match="adds up to 101"):
        bundle_file.from_data(
            dict(VALID_BUNDLE, groups=VALID_BUNDLE["groups"] + more), "bundle.json"
        )


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(
        st.sampled_from(["version", "models", "groups", "name", "manifest", "roles", "x"]),
        inner,
        max_size=5,
    ),
    max_leaves=20,
)


@given(JSON_VALUES)
def test_any_json_as_bundle_or_settings_gives_a_clear_error(data):
    for read, error_type in (
        (lambda: bundle_file.from_data(data, "f"), errors.BundleError),
        (lambda: settings.parse(json.dumps(data), "f"), errors.SettingsError),
    ):
        with pytest.raises(error_type) as caught:
            read()
        assert "\n" not in caught.value.message


@given(st.text(max_size=200))
def test_any_text_as_bundle_or_settings_gives_a_clear_error(text):
    with pytest.raises(errors.BundleError):
        bundle_file.parse(text, "f")
    with pytest.raises(errors.SettingsError):
        settings.parse(text, "f")


@given(st.binary(max_size=300))
def test_any_bytes_as_a_message_give_a_protocol_error(data):
    for keys in ([], [codec.Key(b"k" * 32)]):
        with pytest.raises(errors.ProtocolError):
            messages.make_codec(keys).decode(data)


def test_message_modified_or_under_an_unknown_key_is_refused():
    trusted_codec = messages.make_codec([codec.Key(b"k" * 32)])
    frame = bytearray(trusted_codec.encode(messages.ManifestRequest("abc")))
    assert trusted_codec.decode(bytes(frame)) == messages.ManifestRequest("abc")
    frame[-1] ^= 1
    with pytest.raises(errors.ProtocolError, match="checksum"):
        trusted_codec.decode(bytes(frame))
    foreign_codec = messages.make_codec([codec.Key(b"f" * 32)])
    with pytest.raises(errors.ProtocolError, match="mesh_keys"):
        trusted_codec.decode(foreign_codec.encode(messages.ManifestRequest("abc")))


def test_mesh_keys_rotate_without_refused_messages():
    old, new = codec.Key(b"o" * 32), codec.Key(b"n" * 32)
    before, both, after = (messages.make_codec(keys) for keys in ([old], [old, new], [new]))
    message = messages.ManifestRequest("abc")
    assert both.decode(before.encode(message)) == message
    both.set_keys([new, old])
    assert after.decode(both.encode(message)) == message
    assert both.decode(after.encode(message)) == message


def test_every_error_kind_has_a_response_with_retry_after_if_temporary():
    assert set(error_responses.RESPONSES) == set(errors.ErrorKind)
    for kind, response in error_responses.RESPONSES.items():
        body = error_responses.error_body(errors.MerlinthreadError("x", kind=kind))
        if response.retry_after_s is not None:
            assert int(error_responses.error_headers(body)["Retry-After"]) >= response.retry_after_s
        assert response.exit_code != 0


def run_module(*arguments: str) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", *arguments], capture_output=True, text=True, timeout=60
    )


def test_the_daemon_checks_and_explains_its_settings(tmp_path: pathlib.Path):
    path = tmp_path / "entry.json"
    path.write_text(json.dumps(VALID_SETTINGS))
    done = run_module("merlinthread.daemon", "--config", str(path), "--check")
    assert done.returncode == 0
    assert "entry.poll_every_s = 0.25" in done.stdout
    path.write_text(json.dumps(with_value(VALID_SETTINGS, "http.port", 0)))
    done = run_module("merlinthread.daemon", "--config", str(path), "--check")
    assert done.returncode == 2
    assert f"{path}: http.port: 0 is refused" in done.stderr
    assert "Traceback" not in done.stderr


def test_the_command_line_refuses_a_bad_bundle_with_its_exit_code(tmp_path: pathlib.Path):
    path = tmp_path / "bundle.json"
    path.write_text(json.dumps(with_value(VALID_BUNDLE, "models.0.share_percent", 200)))
    done = run_module("merlinthread.cli.main", "bundle", "check", str(path), "--json")
    assert done.returncode == error_responses.RESPONSES[errors.ErrorKind.BAD_BUNDLE].exit_code
    assert json.loads(done.stdout)["field"] == "models.0.share_percent"


def test_command_line_does_not_import_the_libraries_of_the_daemon():
    done = run_module("merlinthread.cli.main", "list")
    assert "bundle" in done.stdout
    code = (
        "import sys; from merlinthread.cli import main; main.make_application();"
        "print([m for m in ('cherrypy', 'pynng', 'pydantic') if m in sys.modules])"
    )
    loaded = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    assert loaded.stdout.strip() == "[]"


@pytest.mark.parametrize("timeout_s", ["nan", "inf", "-1", "0", "soon"])
def test_the_command_line_refuses_a_time_limit_that_would_never_end(timeout_s):
    arguments = ["status", "--controls", "127.0.0.1:1", f"--timeout-s={timeout_s}"]
    done = run_module("merlinthread.cli.main", *arguments)
    assert "--timeout-s" in done.stderr and done.returncode != 0
    assert "Traceback" not in done.stderr
