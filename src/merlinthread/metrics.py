"""Prometheus metrics of all roles, served at `/metrics`."""

import prometheus_client

requests_total = prometheus_client.Counter(
    "merlinthread_requests_total",
    "Requests that this entry finished, by kind and outcome.",
    ["kind", "outcome"],
)
request_seconds = prometheus_client.Histogram(
    "merlinthread_request_seconds",
    "Time from a request's arrival to the last byte of its response.",
    ["kind"],
)
first_token_seconds = prometheus_client.Histogram(
    "merlinthread_first_token_seconds",
    "Time from a request's arrival to the first byte of its response.",
)
attempts_total = prometheus_client.Counter(
    "merlinthread_attempts_total", "Failed attempts on targets, by outcome.", ["outcome"]
)
late_answers_total = prometheus_client.Counter(
    "merlinthread_late_answers_total",
    "Responses and tokens dropped because they did not match the attempt.",
)
in_flight = prometheus_client.Gauge(
    "merlinthread_requests_in_flight", "Requests in progress in this process."
)
queue_length = prometheus_client.Gauge(
    "merlinthread_queue_length", "Requests waiting in this agent's fair queue."
)
generation = prometheus_client.Gauge(
    "merlinthread_generation", "Generation of the bundle that this process enforces."
)
revision = prometheus_client.Gauge(
    "merlinthread_revision", "Log index of the control state that this process enforces."
)
is_leader = prometheus_client.Gauge(
    "merlinthread_control_is_leader", "1 if this control VM is the leader, else 0."
)
commands_total = prometheus_client.Counter(
    "merlinthread_control_commands_total", "Commands applied, by kind.", ["kind"]
)
data_folder_bytes = prometheus_client.Gauge(
    "merlinthread_control_data_folder_bytes", "Bytes of the snapshot and log in the data folder."
)
bus_bytes_total = prometheus_client.Counter(
    "merlinthread_bus_bytes_total",
    "Bytes of messages between processes of the deployment, including chunks.",
    ["direction"],
)
chunk_bytes_total = prometheus_client.Counter(
    "merlinthread_chunk_bytes_total", "Bytes of chunks received, by source.", ["source"]
)
chunk_failures_total = prometheus_client.Counter(
    "merlinthread_chunk_failures_total", "Failed chunk downloads, by reason.", ["reason"]
)
chunk_bytes_sent_total = prometheus_client.Counter(
    "merlinthread_chunk_bytes_sent_total", "Bytes of chunks sent to other agents."
)
orders_total = prometheus_client.Counter(
    "merlinthread_orders_total",
    "Orders to the target, by action and outcome.",
    ["action", "outcome"],
)

silences_total = prometheus_client.Counter(
    "merlinthread_silences_total",
    "Silences of back ends during streams, by whether they continued or the attempt was given up.",
    ["outcome"],
)
pauses_total = prometheus_client.Counter(
    "merlinthread_pauses_total",
    "Timeouts extended because this process was suspended or blocked.",
)


def expose() -> bytes:
    """Return all metrics in the Prometheus text format."""
    return prometheus_client.generate_latest()


configuration_version = prometheus_client.Gauge(
    "merlinthread_configuration_version", "Version of the configuration that this node holds."
)
backends = prometheus_client.Gauge(
    "merlinthread_backends", "Back ends known to this node, by state.", ["state"]
)
backends_without_region = prometheus_client.Gauge(
    "merlinthread_backends_without_region",
    "Back ends in zones without a region in the settings; no restricted request is sent to them.",
)
region_refusals_total = prometheus_client.Counter(
    "merlinthread_region_refusals_total",
    "Requests refused because back ends in their allowed regions are missing or leaving.",
    ["cause"],
)
backends_closed = prometheus_client.Gauge(
    "merlinthread_backends_closed",
    "Back ends that asked for no further requests, by reason; includes those that have left.",
    ["reason"],
)
backends_limited = prometheus_client.Gauge(
    "merlinthread_backends_limited",
    "Back ends whose rate limit is known to this entry.",
)
control_age_seconds = prometheus_client.Gauge(
    "merlinthread_control_age_seconds",
    "Seconds since a control VM with a majority last confirmed the state of this node.",
)
log_index = prometheus_client.Gauge(
    "merlinthread_log_index", "Index of the last log entry that this control VM has applied."
)
log_level = prometheus_client.Gauge(
    "merlinthread_log_level",
    "Highest format level of the log entries that this control VM has applied; builds that support "
    "only lower levels can no longer be members.",
)
log_blocked = prometheus_client.Gauge(
    "merlinthread_log_blocked",
    "1 if this control VM's build can't read an entry of the log; it then votes but does not lead.",
)
losses_bearable = prometheus_client.Gauge(
    "merlinthread_log_losses_bearable",
    "Number of further member failures that the replicated log tolerates; set by the leader.",
)
membership_changes_total = prometheus_client.Counter(
    "merlinthread_membership_changes_total",
    "Membership changes that this control VM proposed, by kind; one kind that goes on rising is a "
    "repair without progress.",
    ["kind"],
)
leader_changes_total = prometheus_client.Counter(
    "merlinthread_leader_changes_total", "Leader changes that this control VM has observed."
)
pieces_total = prometheus_client.Counter(
    "merlinthread_pieces_total",
    "Pieces of weights that this agent downloaded, by source.",
    ["source"],
)
loads_total = prometheus_client.Counter(
    "merlinthread_loads_total",
    "Loads of weights by the engine, by when its pieces were found right: before it took them, "
    "only after, or never.",
    ["proof"],
)
manifest_checks_total = prometheus_client.Counter(
    "merlinthread_manifest_checks_total",
    "Checks of a manifest that readings of a piece contradict, by result: kept or corrected.",
    ["result"],
)
refusals_total = prometheus_client.Counter(
    "merlinthread_refusals_total", "Requests that this entry rejected, by kind of error.", ["kind"]
)
breaks_total = prometheus_client.Counter(
    "merlinthread_breaks_total",
    "Attempts without a complete response, by whether the back end's process had ended.",
    ["proof"],
)
held_bytes = prometheus_client.Gauge(
    "merlinthread_held_bytes",
    "Bytes that this entry holds for clients: requests, responses that are not sent yet, and data "
    "of back ends that waits to be sent.",
)
connections_shed_total = prometheus_client.Counter(
    "merlinthread_connections_shed_total",
    "Connections of clients that this entry closed, by reason: the memory for all clients was used "
    "up, or would be by an announced body, or the client took no data after its deadline.",
    ["reason"],
)
retries_total = prometheus_client.Counter(
    "merlinthread_retries_total",
    "Attempts beyond the first of a request, by stage: decided on, or sent to a back end.",
    ["stage"],
)
held_requests = prometheus_client.Gauge(
    "merlinthread_held_requests",
    "Requests held back because back-end processes crashed while running them.",
)
evacuated_zones = prometheus_client.Gauge(
    "merlinthread_evacuated_zones",
    "Availability zones whose back ends get no requests, as known to this node.",
)
unreadable_words_total = prometheus_client.Counter(
    "merlinthread_unreadable_words_total",
    "Invalid values received from back ends and other external systems, by field.",
    ["field"],
)
unread_words = prometheus_client.Gauge(
    "merlinthread_unread_words",
    "Number of distinct unsupported header names in responses of back ends.",
)
permits_total = prometheus_client.Counter(
    "merlinthread_permits_total",
    "Decisions of this control VM on permits for back ends with rate limits, by outcome.",
    ["outcome"],
)
permits_asked_total = prometheus_client.Counter(
    "merlinthread_permits_asked_total",
    "Permits that this entry requested, by outcome and by who decided: the leader, a turn in its "
    "place, the agent of a cold engine, or a turn in place of that.",
    ["outcome", "by"],
)
cold_permits_total = prometheus_client.Counter(
    "merlinthread_cold_permits_total",
    "Decisions of this agent on permits for its engine while that is cold, by outcome.",
    ["outcome"],
)
backends_cold = prometheus_client.Gauge(
    "merlinthread_backends_cold", "Back ends that are cold, as far as this entry knows."
)
limited_per_second = prometheus_client.Gauge(
    "merlinthread_limited_per_second",
    "Sum of the rate limits of back ends known to this control VM, in requests per second.",
)
share_queries_total = prometheus_client.Counter(
    "merlinthread_share_queries_total",
    "Load queries that name a client account, by this agent's reply: over or within its share.",
    ["reply"],
)
accounts_over_share = prometheus_client.Gauge(
    "merlinthread_accounts_over_share",
    "Client accounts that were over their share of this agent's engine lately.",
)
