"""Structured logging as JSON lines, based on absl.logging."""

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
PENDING_BYTES_MAX = 64 * 1024
LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


@dataclasses.dataclass(slots=True)
class Event:
    """A log message with fields; its string form is the name of the event."""

    name: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        return self.name


class JsonFormatter(standard_logging.Formatter):
    """Format a record as a JSON object on one line; `at` is in UTC."""

    def __init__(self, process_name: str) -> None:
        super().__init__()
        self.process_name = process_name

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return `record` as a line without its newline."""
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
    """Write the logs of this process to standard error as JSON lines.

    Logs of the HTTP and messaging libraries are suppressed.
    """
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(JsonFormatter(process_name))
    logging.set_verbosity(LEVELS[level])
    logging.set_stderrthreshold(LEVELS[level])
    for name in ("cherrypy.access", "cherrypy.error", "urllib3", "pynng"):
        library_logger = standard_logging.getLogger(name)
        library_logger.setLevel(standard_logging.CRITICAL)
        library_logger.propagate = False


class NonBlockingHandler(standard_logging.Handler):
    """Write lines to a file descriptor without blocking on its reader.

    A token bucket limits lines below warning level to `lines_per_s` per second. Lines over this
    limit are dropped and counted, and so are lines for which the descriptor has no space. The next
    event that is written reports the count.
    """

    def __init__(
        self, descriptor: int, lines_per_s: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.lines_per_s = lines_per_s
        self.clock = clock
        self.tokens = lines_per_s
        self.refilled_at = clock()
        self.dropped_lines = 0
        self.pending = b""
        os.set_blocking(descriptor, False)

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Write a record, or drop it if the rate limit is exceeded."""
        now = self.clock()
        self.tokens += (now - self.refilled_at) * self.lines_per_s
        self.tokens = min(self.tokens, self.lines_per_s)
        self.refilled_at = now
        if self.tokens < 1 and record.levelno < standard_logging.WARNING:
            self.dropped_lines += 1
            return
        self.tokens -= 1
        if self.dropped_lines and isinstance(record.msg, Event):
            record.msg.fields["lines_left_out"] = self.dropped_lines
        self.write(self.format(record).encode("utf-8", "replace") + b"\n")

    def write(self, line: bytes) -> None:
        """Write a line or drop it; the remainder of a partial write precedes the next line."""
        try:
            data = self.pending + line
            written = os.write(self.descriptor, data)
            self.pending = data[written:]
            self.dropped_lines = 0
            if len(self.pending) > PENDING_BYTES_MAX:
                self.pending = b""
        except BlockingIOError:
            self.dropped_lines += 1
        except OSError:
            self.dropped_lines += 1


def configure_stdout(process_name: str, level: str, descriptor: int = 1) -> None:
    """Write the logs of this process to standard output as JSON lines, without blocking."""
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
    """Log an event or a decision at info level, with its reason as a field."""
    logging.info(Event(name, fields))


def debug(name: str, /, **fields: Any) -> None:
    """Log an event at debug level, for developers."""
    logging.debug(Event(name, fields))


def warning(name: str, /, **fields: Any) -> None:
    """Log an event at warning level, which may need action by an operator."""
    logging.warning(Event(name, fields))


def exception(name: str, /, **fields: Any) -> None:
    """Log an event at error level with the traceback of the current exception."""
    logging.exception(Event(name, fields))
