"""Generate the reference pages docs/CONFIG.md and docs/CLI.md from the code."""

import pathlib
import types
import typing

import pydantic

from bench import measure
from merlinthread import settings
from merlinthread.cli import main as cli
from merlinthread.protocol import error_responses

DOCS = pathlib.Path(__file__).parent.parent / "docs"
SECTIONS = (
    ("", settings.Settings),
    ("http", settings.Http),
    ("log", settings.Log),
    ("control", settings.Control),
    ("control.members[]", settings.ControlPeer),
    ("control.operators[]", settings.Operator),
    ("entry", settings.Entry),
    ("agent", settings.Agent),
)


def config_page() -> str:
    """Return the page about settings."""
    lines = [
        "# Settings",
        "",
        "Made by `python -m bench pages` from the code; a test keeps it true.",
        "A settings file is JSON with comments. Unknown keys are refused, types are not guessed.",
        "Names end in their unit: `_s` seconds, `_ms` milliseconds, `_bytes` bytes. Addresses are",
        "IP numbers. `merlinthreadd --config FILE --check` validates a file and explains it.",
        "SIGHUP reads the file again and takes over `mesh_keys`, `log`, `control.operators`,",
        "`control.signatures_required` and `control.members`; all else needs a restart.",
        "Examples with comments for each role are in `examples/`.",
    ]
    for prefix, section in SECTIONS:
        lines += ["", f"## {prefix or 'The whole file'}", ""]
        lines += [(section.__doc__ or "").strip().splitlines()[0], ""]
        lines += ["| key | type | default | meaning |", "|---|---|---|---|"]
        for name, field in section.model_fields.items():
            lines.append(
                f"| `{name}` | {type_name(field.annotation)} | {default_of(field)} "
                f"| {field.description or ''} |"
            )
    return "\n".join(lines) + "\n"


def type_name(annotation: typing.Any) -> str:
    """Return the description of a type on the page."""
    origin = typing.get_origin(annotation)
    if origin is typing.Annotated:
        return type_name(typing.get_args(annotation)[0])
    if origin is typing.Literal:
        return " or ".join(f"`{value}`" for value in typing.get_args(annotation))
    if origin is list:
        return f"list of {type_name(typing.get_args(annotation)[0])}"
    if origin in (types.UnionType, typing.Union):
        kinds = [kind for kind in typing.get_args(annotation) if kind is not types.NoneType]
        return f"{type_name(kinds[0])}, or left out"
    if isinstance(annotation, type) and issubclass(annotation, pydantic.BaseModel):
        return "section"
    return {"str": "text", "int": "whole number", "float": "number", "bool": "true or false"}.get(
        annotation.__name__, annotation.__name__
    )


def default_of(field: pydantic.fields.FieldInfo) -> str:
    """Return the description of a field's default on the page."""
    if field.is_required():
        return "required"
    if isinstance(field.default, pydantic.BaseModel):
        return "its defaults"
    return "none" if field.default is None else f"`{field.default!r}`"


def cli_page() -> str:
    """Return the page about the command line."""
    lines = [
        "# The command line",
        "",
        "Made by `python -m bench pages` from the code; a test keeps it true.",
        "`merlinthread` drives the system through the bundle, evacuates availability zones and",
        "otherwise only reads. Tables by default, one JSON object with `--json`. Commands that",
        "change the bundle have a request id: sent again with the same `--request-id` it gives its",
        "first answer. `evacuate` may be repeated as it is. Shell completion:",
        "`merlinthread completions`.",
    ]
    application = cli.make_application()
    for name in sorted(cli.COMMANDS):
        command = application.find(name)
        arguments = " ".join(f"<{argument.name}>" for argument in command.definition.arguments)
        lines += ["", f"## merlinthread {name} {arguments}".rstrip(), "", command.description, ""]
        lines += ["| option | meaning |", "|---|---|"]
        for found in command.definition.options:
            short = f"-{found.shortcut}, " if found.shortcut else ""
            lines.append(f"| `{short}--{found.name}` | {found.description} |")
    lines += ["", "## Exit codes", "", "0 is success. Every error kind has its code:", ""]
    lines += ["| kind | exit | HTTP | did it run | try again |", "|---|---|---|---|---|"]
    for kind, answer in error_responses.RESPONSES.items():
        again = f"after {answer.retry_after_s:g} s" if answer.retry_after_s else "no"
        lines.append(f"| {kind} | {answer.exit_code} | {answer.status} | {answer.ran} | {again} |")
    return "\n".join(lines) + "\n"


def main(arguments: list[str]) -> int:
    """Write the pages."""
    (DOCS / "CONFIG.md").write_text(config_page(), encoding="utf-8")
    (DOCS / "CLI.md").write_text(cli_page(), encoding="utf-8")
    return measure.print_results("pages", {"written": ["docs/CONFIG.md", "docs/CLI.md"]})
