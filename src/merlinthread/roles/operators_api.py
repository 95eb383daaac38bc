"""The HTTP API of control VMs for operators."""

import typing
from typing import Any

import msgspec

from merlinthread import errors
from merlinthread.coordination import agents, bundles, commands, control_state, reconciliation
from merlinthread.protocol import bundle_file, operator_calls, signatures
from merlinthread.transport import http_server

if typing.TYPE_CHECKING:
    from merlinthread.roles import control


class OperatorsApi:
    """Handlers of the operators' HTTP API."""

    def __init__(self, role: "control.ControlRole") -> None:
        self.role = role

    def propose(self, request: http_server.Request) -> http_server.Response:
        """Propose a bundle."""
        call = decode_body(request, operator_calls.ProposeRequest)
        bundle = bundle_file.from_data(call.bundle, "bundle")
        return self.commit(commands.Propose(call.request_id, call.operator, self.now(), bundle))

    def sign(self, request: http_server.Request) -> http_server.Response:
        """Add an operator's signature to a bundle; raise BundleError if it is not valid."""
        call = decode_body(request, operator_calls.SignRequest)
        public_keys = {
            operator.name: operator.public_key for operator in self.role.config.operators
        }
        if call.operator not in public_keys:
            raise errors.BundleError(
                f"operator: {call.operator!r} is not in control.operators of this control VM",
                kind=errors.ErrorKind.BAD_SIGNATURE,
                field="operator",
            )
        if not signatures.is_valid(
            public_keys[call.operator], call.signature, call.version, call.digest
        ):
            raise errors.BundleError(
                f"signature: not that of {call.operator!r} for version {call.version} with digest "
                f"{call.digest}; sign again with the right key",
                kind=errors.ErrorKind.BAD_SIGNATURE,
                field="signature",
            )
        return self.commit(
            commands.Sign(
                call.request_id,
                call.operator,
                self.now(),
                call.version,
                call.digest,
                call.signature,
            )
        )

    def roll(self, request: http_server.Request) -> http_server.Response:
        """Roll out a signed version, or roll back to an earlier one."""
        call = decode_body(request, operator_calls.RollRequest)
        return self.commit(
            commands.Roll(
                call.request_id,
                call.operator,
                self.now(),
                call.version,
                self.role.config.signatures_required,
                call.is_back,
            )
        )

    def resume(self, request: http_server.Request) -> http_server.Response:
        """Resume a paused roll."""
        call = decode_body(request, operator_calls.ResumeRequest)
        return self.commit(commands.Pause(call.generation, ""))

    def show(self, request: http_server.Request) -> http_server.Response:
        """Return one bundle with its full content."""
        version = int(request.subpath) if request.subpath.isdigit() else -1
        return http_server.json_response(
            self.role.read(lambda task: show_bundle(task.state, version, self.role))
        )

    def history(self, request: http_server.Request) -> http_server.Response:
        """Return all bundles and the most recent rolls."""
        return http_server.json_response(
            self.role.read(lambda task: make_history(task.state, self.role))
        )

    def status(self, request: http_server.Request) -> http_server.Response:
        """Return the state of the deployment."""
        return http_server.json_response(self.role.read(self.make_status))

    def make_status(self, task: Any) -> operator_calls.Status:
        """Build the status; called in the thread of the log task."""
        now = self.role.context.clock()
        state = task.state
        raft = task.raft
        members = []
        for name in raft.log.membership.members():
            progress = raft.progress.get(name)
            members.append(
                operator_calls.MemberStatus(
                    name,
                    "voter" if name in raft.log.membership.voters else "learner",
                    name == raft.name,
                    0 if progress is None else raft.log.last_index() - progress.match,
                )
            )
        record = state.records.get(state.version)
        directive = state.directive()
        return operator_calls.Status(
            raft.name,
            raft.hard_state.term,
            state.revision,
            state.generation,
            state.version,
            record.digest if record else "",
            state.paused,
            members,
            [
                make_agent_status(state, directive, report)
                for report in task.report_receiver.live(now)
            ],
            task.journal.size_bytes(),
        )

    def commit(self, command: commands.Command) -> http_server.Response:
        """Commit a command and return its result, or the error that the state machine returned."""
        answer = self.role.submit(command)
        if answer.error:
            error = errors.ControlError(answer.message, kind=errors.ErrorKind(answer.error))
            return http_server.error_response(error, answer.digest)
        return http_server.json_response(make_result(answer))

    def now(self) -> float:
        """Return the seconds since the epoch, for stored records."""
        return self.role.context.wall_clock()


def make_agent_status(
    state: control_state.ControlState,
    directive: control_state.Directive,
    report: agents.AgentReport,
) -> operator_calls.AgentStatus:
    """Return the status of a target VM."""
    wanted = reconciliation.wanted_models(directive, report.name)
    placed = state.placement.get(report.name)
    is_done = report.kind == bundles.SERVICE or report.serving == {
        item.name: item.manifest for item in wanted
    }
    return operator_calls.AgentStatus(
        report.name,
        report.availability_zone,
        report.kind,
        report.revision,
        report.generation,
        placed.models if placed else [],
        report.serving,
        is_done,
        report.is_leaving,
        report.trouble,
    )


def make_result(answer: commands.Answer) -> operator_calls.CommandResult:
    """Return the response body for the result of a command."""
    return operator_calls.CommandResult(
        answer.status, answer.version, answer.digest, answer.generation, answer.message
    )


def decode_body(request: http_server.Request, kind: Any) -> Any:
    """Decode the JSON body as `kind`; raise RequestError with the reason if it is invalid."""
    try:
        return msgspec.json.decode(request.body, type=kind)
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.RequestError(f"invalid request body: {error}")


def show_bundle(
    state: control_state.ControlState, version: int, role: "control.ControlRole"
) -> operator_calls.BundleDetails:
    """Return a bundle with its content; raise ControlError if the version is unknown."""
    record = state.records.get(version)
    if record is None:
        raise errors.ControlError(
            f"no bundle has version {version}", kind=errors.ErrorKind.UNKNOWN_VERSION
        )
    return operator_calls.BundleDetails(
        summarize_bundle(state, record, role), msgspec.to_builtins(record.bundle)
    )


def summarize_bundle(
    state: control_state.ControlState,
    record: control_state.BundleRecord,
    role: "control.ControlRole",
) -> operator_calls.BundleSummary:
    """Return a bundle's entry in the history."""
    bundle: bundles.Bundle = record.bundle
    return operator_calls.BundleSummary(
        bundle.version,
        record.digest,
        state.status_of(bundle.version, role.config.signatures_required),
        record.proposed_by,
        record.proposed_at,
        sorted(record.signatures),
        bundle.note,
    )


def make_history(
    state: control_state.ControlState, role: "control.ControlRole"
) -> operator_calls.History:
    """Return all bundles and the last 100 rolls, newest first."""
    summaries = [summarize_bundle(state, record, role) for record in state.records.values()]
    summaries.sort(key=lambda summary: -summary.version)
    rolls = [
        operator_calls.RollSummary(r.generation, r.version, r.operator, r.at, r.is_back)
        for r in reversed(state.rolls[-100:])
    ]
    return operator_calls.History(summaries, rolls)


def add_routes(routes: http_server.Routes, role: "control.ControlRole") -> None:
    """Add the routes of the operators' API."""
    api = OperatorsApi(role)
    routes.add("POST", "/v1/bundles", api.propose)
    routes.add("POST", "/v1/signatures", api.sign)
    routes.add("POST", "/v1/rolls", api.roll)
    routes.add("POST", "/v1/resume", api.resume)
    routes.add("GET", "/v1/bundles/", api.show)
    routes.add("GET", "/v1/history", api.history)
    routes.add("GET", "/v1/status", api.status)
