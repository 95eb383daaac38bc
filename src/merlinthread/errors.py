"""The exception tree and the closed list of error kinds that every layer may raise."""

import enum


class ErrorKind(enum.StrEnum):
    """Every way in which the system refuses or fails; `protocol.answers` maps each to an answer."""

    BAD_SETTINGS = "bad_settings"
    BAD_BUNDLE = "bad_bundle"
    BAD_CONFIGURATION = "bad_configuration"
    BAD_REQUEST = "bad_request"
    BAD_SIGNATURE = "bad_signature"
    UNAUTHORISED = "unauthorised"
    TOO_LARGE = "too_large"
    UNKNOWN_VERSION = "unknown_version"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_ACCOUNT = "unknown_account"
    VERSION_CONFLICT = "version_conflict"
    NOT_SIGNED = "not_signed"
    NOT_LEADER = "not_leader"
    NO_MAJORITY = "no_majority"
    MEMBERSHIP_CHANGE_REFUSED = "membership_change_refused"
    NOT_RUN = "not_run"
    OVERLOADED = "overloaded"
    NO_TARGET = "no_target"
    HELD_BACK = "held_back"
    LEAVING = "leaving"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    OUTCOME_UNKNOWN = "outcome_unknown"
    KEY_REQUIRED = "key_required"
    KEY_CONFLICT = "key_conflict"
    KEY_EXPIRED = "key_expired"
    STREAM_BROKEN = "stream_broken"
    ORIGIN_CHANGED = "origin_changed"
    CHUNK_CORRUPT = "chunk_corrupt"
    UNREACHABLE = "unreachable"
    FENCED = "fenced"
    LOG_DAMAGED = "log_damaged"
    FOLDER_IN_USE = "folder_in_use"
    DISK_FULL = "disk_full"
    INTERNAL = "internal"


class MerlinthreadError(Exception):
    """Base of all errors of this package.

    `kind` selects the answer; `field` names the offending field, if there is one; `retry_after_s`
    overrides the table's advice when the raiser knows better.
    """

    kind = ErrorKind.INTERNAL

    def __init__(
        self,
        message: str,
        *,
        kind: ErrorKind | None = None,
        field: str = "",
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        if kind is not None:
            self.kind = kind
        self.field = field
        self.retry_after_s = retry_after_s


class SettingsError(MerlinthreadError):
    """A settings file can't be used."""

    kind = ErrorKind.BAD_SETTINGS


class BundleError(MerlinthreadError):
    """A bundle is malformed or contradicts itself."""

    kind = ErrorKind.BAD_BUNDLE


class ConfigurationError(MerlinthreadError):
    """A configuration can't be read whole or contradicts itself."""

    kind = ErrorKind.BAD_CONFIGURATION


class StateError(MerlinthreadError):
    """Durable state can't be read or written."""


class LogDamagedError(StateError):
    """A record that was once synced fails its checksum."""

    kind = ErrorKind.LOG_DAMAGED


class FolderInUseError(StateError):
    """Another process holds the data folder."""

    kind = ErrorKind.FOLDER_IN_USE


class DiskFullError(StateError):
    """The disk has no room; what was accepted before is intact."""

    kind = ErrorKind.DISK_FULL


class ControlError(MerlinthreadError):
    """The control VMs refuse a command."""

    kind = ErrorKind.NO_MAJORITY


class NotLeaderError(ControlError):
    """This control VM does not lead; `leader` names the one that does, if known."""

    kind = ErrorKind.NOT_LEADER

    def __init__(self, message: str, leader: str = "") -> None:
        super().__init__(message)
        self.leader = leader


class RequestError(MerlinthreadError):
    """A caller's request is refused or failed."""

    kind = ErrorKind.BAD_REQUEST


class WeightsError(MerlinthreadError):
    """Weights can't be fetched, verified or loaded."""

    kind = ErrorKind.CHUNK_CORRUPT


class UnreachableError(MerlinthreadError):
    """A peer did not answer in time; whether it acted is unknown."""

    kind = ErrorKind.UNREACHABLE


class NotListeningError(UnreachableError):
    """Nothing listens at an address: the process that did has ended."""


class ProtocolError(MerlinthreadError):
    """A message can't be decoded or is not authentic."""

    kind = ErrorKind.BAD_REQUEST
