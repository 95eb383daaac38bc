"""Parsing of sources while garbage is collected whose destructors format tracebacks.

Guards against a SystemError of the parser of Python 3.11 in tests that read sources, and in the
report of any test that has failed.
"""

import ast
import gc
import pathlib

from bench import layers


class Cycle:
    """Garbage that enters the parser when it is collected."""

    def __init__(self) -> None:
        self.own = self

    def __del__(self) -> None:
        ast.parse("a + b")


def test_destructors_do_not_disturb_the_parser():
    threshold = gc.get_threshold()
    gc.set_threshold(50)
    try:
        for _ in range(5):
            cycles = [Cycle() for _ in range(20)]
            del cycles
            assert layers.parse(pathlib.Path(layers.__file__)).body
        assert gc.isenabled()
    finally:
        gc.set_threshold(*threshold)
