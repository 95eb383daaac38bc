"""What is known of a client's request before its first attempt."""

import dataclasses

from merlinthread.coordination import fingerprints, fleet

URGENCY_MAX = 9
LABEL_CHARACTERS = 120


@dataclasses.dataclass(slots=True)
class Facts:
    """A client's request: the call, where it belongs, and by when it must be answered."""

    call: fleet.RequestHead
    route: fleet.Route
    account: fleet.Account | None
    deadline: float
    body: bytes = b""
    known_fingerprint: str = ""

    def fingerprint(self) -> str:
        """Return what tells this request from others; reckoned only once it is asked for."""
        if not self.known_fingerprint:
            account = self.account.name if self.account is not None else ""
            self.known_fingerprint = fingerprints.fingerprint(self.call, account, self.body)
        return self.known_fingerprint

    def label(self) -> str:
        """Return what the request asks and for whom, for operators; its query is left out."""
        account = self.account.name if self.account is not None else "no account"
        path = self.call.path.decode("latin-1").split("?")[0]
        text = f"{self.call.method.decode('latin-1')} {self.call.host}{path} of {account}"
        return text[:LABEL_CHARACTERS]

    def is_idempotent(self) -> bool:
        """Return whether the request may run more than once."""
        return self.route.kind == fleet.SAFE or (
            self.route.kind == fleet.STREAMING and self.route.is_resumable
        )

    def urgency(self) -> int:
        """Return the request's rank, 0 first: its account's before its route's."""
        rank = self.route.priority
        if self.account is not None and self.account.priority is not None:
            rank = self.account.priority
        return max(0, min(URGENCY_MAX, rank))
