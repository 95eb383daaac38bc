"""Prometheus metrics of all roles, served at `/metrics`."""

import prometheus_client

requests_total = prometheus_client.Counter(
    "merlinthread_requests_total", "Requests answered by this entry.", ["kind", "outcome"]
)
request_seconds = prometheus_client.Histogram(
    "merlinthread_request_seconds",
    "Time from a request's arrival to the last byte of its answer.",
    ["kind"],
)
first_token_seconds = prometheus_client.Histogram(
    "merlinthread_first_token_seconds",
    "Time from a request's arrival to the first byte of its answer.",
)
attempts_total = prometheus_client.Counter(
    "merlinthread_attempts_total", "Attempts on targets by outcome.", ["outcome"]
)
late_answers_total = prometheus_client.Counter(
    "merlinthread_late_answers_total", "Answers that belonged to no waiting attempt; dropped."
)
in_flight = prometheus_client.Gauge(
    "merlinthread_requests_in_flight", "Requests that this process is working on."
)
queue_length = prometheus_client.Gauge(
    "merlinthread_queue_length", "Requests that wait in this agent's fair queue."
)
generation = prometheus_client.Gauge(
    "merlinthread_generation", "Generation of the bundle that this process enforces."
)
revision = prometheus_client.Gauge(
    "merlinthread_revision", "Log index of the control state that this process enforces."
)
is_leader = prometheus_client.Gauge(
    "merlinthread_control_is_leader", "1 if this control VM leads, else 0."
)
commands_total = prometheus_client.Counter(
    "merlinthread_control_commands_total", "Commands applied, by kind.", ["kind"]
)
data_folder_bytes = prometheus_client.Gauge(
    "merlinthread_control_data_folder_bytes", "Bytes of the live files in the data folder."
)
bus_bytes_total = prometheus_client.Counter(
    "merlinthread_bus_bytes_total",
    "Bytes of messages between our own processes, chunks among them.",
    ["direction"],
)
chunk_bytes_total = prometheus_client.Counter(
    "merlinthread_chunk_bytes_total", "Bytes of chunks received, by source.", ["source"]
)
chunk_failures_total = prometheus_client.Counter(
    "merlinthread_chunk_failures_total", "Chunks that were wrong or did not come.", ["reason"]
)
chunk_bytes_sent_total = prometheus_client.Counter(
    "merlinthread_chunk_bytes_sent_total", "Bytes of chunks given to other agents."
)
orders_total = prometheus_client.Counter(
    "merlinthread_orders_total",
    "Orders to the target, by action and outcome.",
    ["action", "outcome"],
)


def expose() -> bytes:
    """Return all metrics in the Prometheus text format."""
    return prometheus_client.generate_latest()


configuration_version = prometheus_client.Gauge(
    "merlinthread_configuration_version", "Version of the configuration that this node holds."
)
backends = prometheus_client.Gauge(
    "merlinthread_backends", "Back ends that this node knows, by state.", ["state"]
)
backends_closed = prometheus_client.Gauge(
    "merlinthread_backends_closed",
    "Back ends that take no requests from this entry, by what they said; those that left count on.",
    ["reason"],
)
backends_limited = prometheus_client.Gauge(
    "merlinthread_backends_limited",
    "Back ends that take only so many requests a second, as this entry has heard.",
)
control_age_seconds = prometheus_client.Gauge(
    "merlinthread_control_age_seconds",
    "How long ago this node heard a control VM that was joined to a majority.",
)
log_index = prometheus_client.Gauge(
    "merlinthread_log_index", "Index of the last entry that this control VM has applied."
)
log_level = prometheus_client.Gauge(
    "merlinthread_log_level",
    "The highest level of any entry that this control VM has applied; builds that read less can't "
    "take part any more.",
)
log_blocked = prometheus_client.Gauge(
    "merlinthread_log_blocked",
    "1 if this control VM's build can't read an entry of the log: it votes and does not lead.",
)
losses_bearable = prometheus_client.Gauge(
    "merlinthread_log_losses_bearable",
    "How many more members of the replicated log may be lost before no majority is left; set by "
    "the leader at each change of members.",
)
leader_changes_total = prometheus_client.Counter(
    "merlinthread_leader_changes_total", "Changes of leader that this control VM has seen."
)
pieces_total = prometheus_client.Counter(
    "merlinthread_pieces_total", "Pieces of weights that this agent got, by source.", ["source"]
)
refusals_total = prometheus_client.Counter(
    "merlinthread_refusals_total", "Requests that this entry refused, by kind.", ["kind"]
)
breaks_total = prometheus_client.Counter(
    "merlinthread_breaks_total",
    "Attempts that got no whole answer, by whether their back end's process had ended.",
    ["proof"],
)
held_requests = prometheus_client.Gauge(
    "merlinthread_held_requests",
    "Requests that are held back here, because processes ended under them.",
)
unreadable_words_total = prometheus_client.Counter(
    "merlinthread_unreadable_words_total",
    "Words of back ends and other writers that could not be used, by field.",
    ["field"],
)
unread_words = prometheus_client.Gauge(
    "merlinthread_unread_words",
    "Names of headers in answers of back ends that nobody here reads.",
)
permits_total = prometheus_client.Counter(
    "merlinthread_permits_total",
    "Permits for back ends that named limits, given and denied by this control VM.",
    ["outcome"],
)
permits_asked_total = prometheus_client.Counter(
    "merlinthread_permits_asked_total",
    "Permits that this entry asked for, by outcome and by who decided.",
    ["outcome", "by"],
)
limited_per_second = prometheus_client.Gauge(
    "merlinthread_limited_per_second",
    "Requests a second that the back ends with limits take together, as this control VM knows.",
)
