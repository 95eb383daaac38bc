"""JSON-lines logs through absl.logging: one line for each event or decision."""

import dataclasses
import datetime
import json
import logging as standard_logging
from typing import Any

from absl import logging

LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


@dataclasses.dataclass(slots=True)
class Event:
    """A log message with fields; its text form is the event's name."""

    name: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        return self.name


class JsonFormatter(standard_logging.Formatter):
    """Format a record as one JSON object; `at` is UTC."""

    def __init__(self, process_name: str) -> None:
        super().__init__()
        self.process_name = process_name

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the line for `record`."""
        at = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        line: dict[str, Any] = {
            "at": at.isoformat(timespec="milliseconds"),
            "level": record.levelname.lower(),
            "process": self.process_name,
            "event": record.getMessage(),
        }
        if isinstance(record.msg, Event):
            line.update({key: value for key, value in record.msg.fields.items() if key not in line})
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str, ensure_ascii=False)


def set_up(process_name: str, level: str) -> None:
    """Send all logs of this process to standard error as JSON lines."""
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(JsonFormatter(process_name))
    logging.set_verbosity(LEVELS[level])
    logging.set_stderrthreshold(LEVELS[level])
    for name in ("cherrypy.access", "cherrypy.error", "urllib3", "pynng"):
        quiet = standard_logging.getLogger(name)
        quiet.setLevel(standard_logging.CRITICAL)
        quiet.propagate = False


def event(name: str, /, **fields: Any) -> None:
    """Log what happened or was decided, with the reason among the fields."""
    logging.info(Event(name, fields))


def detail(name: str, /, **fields: Any) -> None:
    """Log something that only a developer looks for."""
    logging.debug(Event(name, fields))


def warn(name: str, /, **fields: Any) -> None:
    """Log something that an operator may have to act on."""
    logging.warning(Event(name, fields))


def failure(name: str, /, **fields: Any) -> None:
    """Log an unexpected exception, with its traceback."""
    logging.exception(Event(name, fields))
