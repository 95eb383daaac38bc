"""JSON-lines logs through absl.logging: one line for each event or decision."""

import dataclasses
import datetime
import json
import logging as standard_logging
import os
import time
from collections.abc import Callable
from typing import Any

from absl import logging

LINES_PER_S = 200.0
UNWRITTEN_BYTES_MAX = 64 * 1024
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


def configure(process_name: str, level: str) -> None:
    """Send all logs of this process to standard error as JSON lines."""
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(JsonFormatter(process_name))
    logging.set_verbosity(LEVELS[level])
    logging.set_stderrthreshold(LEVELS[level])
    for name in ("cherrypy.access", "cherrypy.error", "urllib3", "pynng"):
        quiet = standard_logging.getLogger(name)
        quiet.setLevel(standard_logging.CRITICAL)
        quiet.propagate = False


class NonBlockingHandler(standard_logging.Handler):
    """Write lines to a file descriptor without ever waiting for its reader.

    At most `lines_per_s` lines a second are written (with a short burst above it); what is left out
    is counted and told with the next line that is written.
    """

    def __init__(
        self, descriptor: int, lines_per_s: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.lines_per_s = lines_per_s
        self.clock = clock
        self.tokens = lines_per_s
        self.filled_at = clock()
        self.left_out = 0
        self.unwritten = b""
        os.set_blocking(descriptor, False)

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Write one record, or count it as left out."""
        now = self.clock()
        self.tokens += (now - self.filled_at) * self.lines_per_s
        self.tokens = min(self.tokens, self.lines_per_s)
        self.filled_at = now
        if self.tokens < 1 and record.levelno < standard_logging.WARNING:
            self.left_out += 1
            return
        self.tokens -= 1
        if self.left_out and isinstance(record.msg, Event):
            record.msg.fields["lines_left_out"] = self.left_out
        self.write(self.format(record).encode("utf-8", "replace") + b"\n")

    def write(self, line: bytes) -> None:
        """Write a line whole, or not at all; the rest of a cut one goes before the next."""
        try:
            data = self.unwritten + line
            written = os.write(self.descriptor, data)
            self.unwritten = data[written:]
            self.left_out = 0
            if len(self.unwritten) > UNWRITTEN_BYTES_MAX:
                self.unwritten = b""
        except BlockingIOError:
            self.left_out += 1
        except OSError:
            self.left_out += 1


def configure_stdout(process_name: str, level: str, descriptor: int = 1) -> None:
    """Send all logs of this process to standard output as JSON lines, never waiting for it."""
    logging.use_absl_handler()
    logger = logging.get_absl_logger()
    handler = NonBlockingHandler(descriptor, LINES_PER_S)
    handler.setFormatter(JsonFormatter(process_name))
    root = standard_logging.getLogger()
    root.removeHandler(logging.get_absl_handler())
    logger.handlers = [handler]
    logger.propagate = False
    logging.set_verbosity(LEVELS[level])


def event(name: str, /, **fields: Any) -> None:
    """Log what happened or was decided, with the reason among the fields."""
    logging.info(Event(name, fields))


def debug(name: str, /, **fields: Any) -> None:
    """Log something that only a developer looks for."""
    logging.debug(Event(name, fields))


def warning(name: str, /, **fields: Any) -> None:
    """Log something that an operator may have to act on."""
    logging.warning(Event(name, fields))


def exception(name: str, /, **fields: Any) -> None:
    """Log an unexpected exception, with its traceback."""
    logging.exception(Event(name, fields))
