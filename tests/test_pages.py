"""The documentation matches the code, the measurements and the tests, and the examples work."""

import pathlib
import re
import subprocess
import sys

import pytest

from bench import capacity, pages
from merlinthread import settings
from merlinthread.protocol import bundle_file

ROOT = pathlib.Path(__file__).parent.parent


def test_config_and_cli_pages_match_the_code():
    assert (ROOT / "docs" / "CONFIG.md").read_text() == pages.config_page()
    assert (ROOT / "docs" / "CLI.md").read_text() == pages.cli_page()


def test_capacity_page_matches_its_raw_figures():
    assert (ROOT / "docs" / "CAPACITY.md").read_text() == capacity.page()


def test_tests_named_in_promises_exist():
    known = set()
    for path in (ROOT / "tests").glob("test_*.py"):
        known |= set(re.findall(r"^(?:async )?def (test_\w+)", path.read_text(), re.MULTILINE))
        known |= set(re.findall(r"^(Test\w+) =", path.read_text(), re.MULTILINE))
    text = (ROOT / "docs" / "PROMISES.md").read_text()
    named = set(re.findall(r"`((?:test_|Test)\w+)`", text))
    assert len(named) > 20
    assert named <= known, f"missing tests: {named - known}"


def test_files_named_in_pages_exist():
    for page in [ROOT / "README.md", *(ROOT / "docs").rglob("*.md")]:
        for name in re.findall(r"`((?:docs|examples|bench|tests)/[\w./-]+)`", page.read_text()):
            assert (ROOT / name).exists(), f"{page.name} refers to {name}, which is missing"


@pytest.mark.parametrize("name", ["entry", "control", "agent"])
def test_example_settings_load(name):
    loaded = settings.load(ROOT / "examples" / f"{name}.json")
    assert loaded.roles == [name]
    assert len(settings.describe(loaded)) > 10


@pytest.mark.parametrize("name", ["bundle-ingoma", "bundle-luz"])
def test_example_bundles_load(name):
    text = (ROOT / "examples" / f"{name}.json").read_text()
    assert bundle_file.parse(text, name).groups


@pytest.mark.parametrize("name", ["embed_log", "embed_fair_queue"])
def test_embedding_examples_run(name):
    completed = subprocess.run(
        [sys.executable, str(ROOT / "examples" / f"{name}.py")],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert completed.returncode == 0, completed.stderr
