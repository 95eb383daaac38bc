"""Exception hierarchy of the package and the error kinds that exceptions carry."""

import enum


class ErrorKind(enum.StrEnum):
    """All kinds of errors; `protocol.error_responses` maps each to a response."""

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
    """Base class of all exceptions of this package.

    `kind` selects the response, `field` names the invalid field, if any, and `retry_after_s`
    overrides the default retry delay for the kind, in seconds.
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
    """A settings file is unreadable or invalid."""

    kind = ErrorKind.BAD_SETTINGS


class BundleError(MerlinthreadError):
    """A bundle is malformed or inconsistent."""

    kind = ErrorKind.BAD_BUNDLE


class ConfigurationError(MerlinthreadError):
    """A configuration is malformed or inconsistent."""

    kind = ErrorKind.BAD_CONFIGURATION


class StateError(MerlinthreadError):
    """Persistent state can't be read or written."""


class LogDamagedError(StateError):
    """A record that had been written durably has a wrong checksum."""

    kind = ErrorKind.LOG_DAMAGED


class FolderInUseError(StateError):
    """Another process has locked the data folder."""

    kind = ErrorKind.FOLDER_IN_USE


class DiskFullError(StateError):
    """The disk is full; data accepted earlier is intact."""

    kind = ErrorKind.DISK_FULL


class ControlError(MerlinthreadError):
    """The control VMs rejected a command."""

    kind = ErrorKind.NO_MAJORITY


class NotLeaderError(ControlError):
    """This control VM is not the leader; `leader` names the one that is, if known."""

    kind = ErrorKind.NOT_LEADER

    def __init__(self, message: str, leader: str = "") -> None:
        super().__init__(message)
        self.leader = leader


class RequestError(MerlinthreadError):
    """A client's request was rejected or failed."""

    kind = ErrorKind.BAD_REQUEST


class WeightsError(MerlinthreadError):
    """Weights can't be fetched, verified or loaded."""

    kind = ErrorKind.CHUNK_CORRUPT


class WrongDigestError(WeightsError):
    """A piece differs from its manifest; `digest` is the one of the received bytes."""

    def __init__(self, message: str, digest: str) -> None:
        super().__init__(message)
        self.digest = digest


class UnreachableError(MerlinthreadError):
    """A peer did not reply in time; whether it acted on the request is unknown."""

    kind = ErrorKind.UNREACHABLE


class NotListeningError(UnreachableError):
    """No process listens at the address: the connection was refused."""


class ProtocolError(MerlinthreadError):
    """A message is malformed or not authentic."""

    kind = ErrorKind.BAD_REQUEST
