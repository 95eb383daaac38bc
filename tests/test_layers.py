"""Imports follow the layers of the package, and the package starts no processes."""

import pathlib

from bench import layers

ROOT = pathlib.Path(layers.__file__).parent.parent / "src" / "merlinthread"


def test_imports_go_down_the_layers():
    assert layers.find_problems(ROOT) == []


def test_an_upward_import_is_found(tmp_path):
    (tmp_path / "state").mkdir()
    (tmp_path / "state" / "bad.py").write_text("from merlinthread.transport import bus\n")
    assert "imports 'transport'" in layers.find_problems(tmp_path)[0]


def test_package_starts_no_process():
    for path in ROOT.rglob("*.py"):
        text = path.read_text()
        for name in ("subprocess", "multiprocessing", "os.fork", "posix_spawn", "shared_memory"):
            assert name not in text, f"{path} contains {name}"
