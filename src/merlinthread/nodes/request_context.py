"""The context of a client's request, known before its first attempt."""

import dataclasses
import functools

from merlinthread.coordination import allowed_regions, fingerprints, fleet
from merlinthread.transport import body_blocks

LABEL_CHARACTERS_MAX = 120
# Bounds the work and the records for a request; the parts of a prompt beyond these are ignored.
PARTS_MAX = 16
# The number of recent parts whose fingerprints are kept, since many requests have the same ones.
CACHED_PARTS_MAX = 1024


@dataclasses.dataclass(slots=True, frozen=True)
class PromptPart:
    """A part of a prompt that other requests may share, and its description for operators."""

    fingerprint: str
    label: str


@dataclasses.dataclass(slots=True)
class RequestContext:
    """A client's request with its route, account, deadline and expected cost in tokens.

    `urgency` is from 0 to `route_table.URGENCY_MAX`, 0 first.
    """

    call: fleet.RequestHead
    route: fleet.Route
    account: fleet.Account | None
    deadline: float
    body: body_blocks.Body = b""
    cached_fingerprint: str = ""
    cached_parts: tuple[PromptPart, ...] | None = None
    cost_tokens: float = 0.0
    urgency: int = 0

    def account_name(self) -> str:
        """Return the name of the client account, or an empty string if there is none."""
        return self.account.name if self.account is not None else ""

    def fingerprint(self) -> str:
        """Return the request's fingerprint, computed on first use."""
        if not self.cached_fingerprint:
            account = self.account.name if self.account is not None else ""
            self.cached_fingerprint = fingerprints.fingerprint(
                self.call, account, *body_blocks.split(self.body)
            )
        return self.cached_fingerprint

    def parts(self) -> tuple[PromptPart, ...]:
        """Return the shared parts of the request's prompt, computed on first use."""
        if self.cached_parts is None:
            ids = dict.fromkeys(self.call.shared_parts[:PARTS_MAX])
            self.cached_parts = tuple(make_part(self.call.model, part_id) for part_id in ids)
        return self.cached_parts

    def suspects(self) -> list[str]:
        """Return the fingerprints of the request and of the shared parts of its prompt."""
        return [self.fingerprint(), *(part.fingerprint for part in self.parts())]

    def label(self) -> str:
        """Return a description for operators: method, host, path without query, and account."""
        account = self.account.name if self.account is not None else "no account"
        path = self.call.path.decode("latin-1").split("?")[0]
        text = f"{self.call.method.decode('latin-1')} {self.call.host}{path} of {account}"
        return text[:LABEL_CHARACTERS_MAX]

    def is_idempotent(self) -> bool:
        """Return whether the request may run more than once."""
        return self.route.kind == fleet.SAFE or (
            self.route.kind == fleet.STREAMING and self.route.is_resumable
        )

    def allowed_regions(self) -> frozenset[str] | None:
        """Return the regions whose back ends may run the request, or None if all may."""
        return allowed_regions.for_request(self.route, self.account)


@functools.lru_cache(CACHED_PARTS_MAX)
def make_part(model: str, part_id: str) -> PromptPart:
    """Return a part of the prompts for a model."""
    label = f"part {part_id} of prompts for {model or 'no model'}"
    return PromptPart(fingerprints.part_fingerprint(model, part_id), label[:LABEL_CHARACTERS_MAX])
