"""Metrics of one process, with labels of limited cardinality.

Labels are services, tiers, targets, outcomes and codes, which are all declared or
fixed. No metric has a label for workspaces or instances.
"""

import threading
from collections import Counter

import aioprometheus

from .clocks import boottime_clock
from .log import dropped_lines
from .placement.cells import Cell

SECONDS_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6]
PREFIX = "almondglade_"
# Upper limit of the exported evidence age; exported if there has been no evidence yet.
MAX_AGE_SECONDS = 1e6

# Labels and help text by metric name; the documentation of the metrics repeats them.
COUNTERS = {
    "requests_total": (
        ("service", "tier", "outcome", "code"),
        "Requests that ended, by what the caller was told.",
    ),
    "dispatches_total": (
        ("service", "result"),
        "Dispatches to targets, by how they ended.",
    ),
    "broken_runs_total": (
        ("service",),
        "Runs at targets that broke off before their response was complete.",
    ),
    "target_crashes_total": (
        (),
        "Runs of targets that turned out to have ended with them.",
    ),
    "resends_total": (
        ("service", "result"),
        "Requests that could go on at another target, by whether they did.",
    ),
    "hedges_total": (
        ("service", "result"),
        "Second copies of late requests: sent, then won, ended or failed; or withheld, "
        "by why.",
    ),
    "stream_resumes_total": (
        ("result",),
        "Streams that callers take up, by who knew which version began them.",
    ),
    "refusals_total": (
        ("service", "code"),
        "Requests that a gateway refused without sending them, by why.",
    ),
    "share_refusals_total": (
        ("service", "result"),
        "Requests refused for want of a slot, by whether others of their workspace "
        "were ahead of them (over) or not (within).",
    ),
    "returns_total": (
        ("service", "result"),
        "Refused requests that returned to room booked for them, by when they came.",
    ),
    "returns_refused_total": (
        ("service",),
        "Refused requests that returned when told to and were refused again.",
    ),
    "returns_expired_total": (
        ("service",),
        "Bookings for refused requests that ended without a return seen here.",
    ),
    "moved_requests_total": (
        ("service", "kind"),
        "Requests sent to another data centre, as its own gives a share of its load "
        "(demand) or has a queue (overflow).",
    ),
    "target_pauses_total": (
        ("service",),
        "Times that a gateway ceased to use a target for a while.",
    ),
    "relays_total": (
        ("service", "result"),
        "Requests offered to peers, as no target could be reached, by the outcome.",
    ),
    "targets_leaving_total": (
        ("service",),
        "Targets that said in a response that they are leaving.",
    ),
    "target_backoffs_total": (
        ("service",),
        "Refusals in which a target named a time without requests.",
    ),
    "target_loads_total": (
        ("service", "result"),
        "Responses in which a target said how fast it is at this moment, by their use.",
    ),
    "momentary_choices_total": (
        ("service",),
        "Choices of a target that its speed at this moment has changed.",
    ),
    "peer_state_readings_total": (
        ("result",),
        "Readings of the published state from a peer that knew a newer one.",
    ),
    "own_limit_refusals_total": (
        (),
        "Requests refused as this instance's own processor or link bears no more.",
    ),
    "body_waits_total": (
        ("result",),
        "Request bodies that found no memory at once, by whether they got it in time.",
    ),
    "tokens_total": (
        ("service", "kind"),
        "Tokens by kind: input, cached (part of input) and output.",
    ),
}
HISTOGRAMS = {
    "first_byte_seconds": (
        ("service", "tier"),
        "Seconds from a request's arrival to the first byte of its answer.",
    ),
    "wait_seconds": (
        ("service", "tier"),
        "Seconds from a request's arrival at a gateway to its place at a target.",
    ),
    "request_seconds": (
        ("service", "tier"),
        "Seconds from a request's arrival to its end.",
    ),
}
GAUGES = {
    "active_requests": ((), "Requests in progress at this instance."),
    "own_delay_seconds": (
        (),
        "By how much all timers or threads of the last second were late.",
    ),
    "body_bytes": ((), "Memory that large request bodies hold or are promised."),
    "configuration_version": ((), "Version of the declared document in force."),
    "configuration_rejected_version": (
        (),
        "Newest version that was not valid; above the version in force, an alert.",
    ),
    "platform_calls": ((), "Calls to the platform's service since the start."),
    "published_instances": ((), "Instances on the platform's list."),
    "links_up": ((), "Links to other instances that carry messages."),
    "pool_waiting": (("service",), "Demands waiting at the coordinator here."),
    "pool_counted_entries": (
        ("service",),
        "Instances counted by the coordinator here; under a majority, an alert.",
    ),
    "target_limit": (("target",), "Concurrency limit of a target, when coordinated."),
    "target_running": (("target",), "Permits counted against a target."),
    "requests_waiting": (("service",), "Requests that wait at this gateway."),
    "hedged_share": (
        ("service",),
        "Second copies of late requests in the last seconds, as a share of the "
        "requests.",
    ),
    "workspaces_over_share": (
        ("service",),
        "Workspaces that hold more than their share at the coordinator here, while "
        "others wait.",
    ),
    "bookings_open": ((), "Refused requests for whose return room is booked here."),
    "places_free": (("service",), "Free places of a service, as seen here."),
    "given_share": (
        ("service",),
        "Share of new requests of this data centre that others get, as its demand "
        "exceeds its slots.",
    ),
    "targets_paused": ((), "Targets that this gateway does not use for now."),
    "services_cut_off": ((), "Services none of whose targets can be reached."),
    "targets_rate_limited": ((), "Targets that name a rate limit in their responses."),
    "evidence_age_seconds": (
        (),
        "Seconds since the configuration was surely the newest; API keys are "
        "refused when it is too old.",
    ),
    "configuration_outdated": (
        (),
        "Whether a peer has a newer configuration in force.",
    ),
    "store_era": (
        (),
        "How often the store has come back from an older copy, as it states; 0 if "
        "it states nothing.",
    ),
    "store_reachable": ((), "Whether the last call to the platform succeeded."),
    "peers_heard": ((), "Other gateways that were heard lately."),
    "log_lines_left_out": ((), "Log lines left out since the start."),
}


class Metrics:
    """Metric collectors of one process.

    The collectors of aioprometheus are not thread-safe, so all changes and the
    rendering are done under one lock.
    """

    def __init__(self):
        self.registry = aioprometheus.Registry()
        self._lock = threading.Lock()
        self._by_name = {}
        for name, (_, help_text) in COUNTERS.items():
            self._add(name, aioprometheus.Counter, help_text)
        for name, (_, help_text) in GAUGES.items():
            self._add(name, aioprometheus.Gauge, help_text)
        for name, (_, help_text) in HISTOGRAMS.items():
            self._add(name, aioprometheus.Histogram, help_text, buckets=SECONDS_BUCKETS)

    def _add(self, name, kind, help_text, **options):
        self._by_name[name] = kind(
            PREFIX + name, help_text, registry=self.registry, **options
        )

    def count(self, name, amount=1, **labels):
        """Add to a counter."""
        with self._lock:
            self._by_name[name].add(_label_values(labels), amount)

    def observe(self, name, value, **labels):
        """Add an observation to a histogram."""
        with self._lock:
            self._by_name[name].observe(_label_values(labels), value)

    def set(self, name, value, **labels):
        """Set a gauge."""
        with self._lock:
            self._by_name[name].set(_label_values(labels), value)

    def clear(self, name):
        """Remove all values of a gauge, so that removed labels are not exported."""
        with self._lock:
            self._by_name[name].values.clear()

    def render(self, accepts):
        """Return the metrics in the exposition format, and its content type.

        Parameters
        ----------
        accepts : list of str
            Media types in the Accept header of the scraper.
        """
        with self._lock:
            body, headers = aioprometheus.render(self.registry, accepts)
        return body, headers["Content-Type"]


def _label_values(labels):
    return {name: str(value) for name, value in labels.items()}


def set_gateway_gauges(metrics, node):
    """Set the gauges from the current state of a gateway.

    Parameters
    ----------
    metrics : Metrics
        Collectors that are updated.
    node : GatewayNode
        The running gateway.
    """
    now = node.clock()
    with node.lock:
        pools = node.pools
        waiting = Counter(ticket.service for ticket in pools.waiting_here())
        free_slots = {
            name: pools.free_slots(name, now) for name in pools.targets.services()
        }
        over_share = {
            name: pools.shares.count_over_share(name, now) for name in free_slots
        }
        given_share = {
            name: sum(pools.given_shares(Cell(name, pools.data_centre), now).values())
            for name in free_slots
        }
        paused = len(pools.targets.paused_here(now))
        rate_limited = sum(
            state.named_rate.is_limited
            for state in pools.targets.state_by_target.values()
        )
        bookings = pools.returns.count_open()
        evidence_age = node.freshness.age(boottime_clock())
        is_outdated = node.freshness.is_outdated
        hedging = node.scheduler.hedging
        hedged_share = hedging.used_shares(now) if hedging is not None else {}
    catalogue = node.registry.catalogue
    metrics.set("active_requests", node.app.active)
    if node.own_load.limits is not None:
        metrics.set("own_delay_seconds", node.own_load.limits.delay)
    metrics.set("body_bytes", node.app.body_room.budget.held)
    metrics.set("configuration_version", catalogue.version if catalogue else 0)
    metrics.set("configuration_outdated", int(is_outdated))
    metrics.set("platform_calls", node.store.calls)
    metrics.set("store_era", node.store.connection.era)
    metrics.set("store_reachable", int(bool(node.discovery.reachable)))
    metrics.set("peers_heard", len(node.gossip.live_peers()))
    metrics.set("targets_paused", paused)
    metrics.set("services_cut_off", len(node.links.lost_services))
    metrics.set("targets_rate_limited", rate_limited)
    metrics.set("bookings_open", bookings)
    metrics.set("evidence_age_seconds", min(evidence_age, MAX_AGE_SECONDS))
    metrics.set("log_lines_left_out", dropped_lines())
    for name in (
        "requests_waiting",
        "places_free",
        "workspaces_over_share",
        "given_share",
    ):
        metrics.clear(name)
    for service, share in hedged_share.items():
        metrics.set("hedged_share", share, service=service)
    for service, slots in free_slots.items():
        metrics.set("places_free", slots, service=service)
        metrics.set("requests_waiting", waiting[service], service=service)
        metrics.set("workspaces_over_share", over_share[service], service=service)
        metrics.set("given_share", given_share[service], service=service)


def set_gauges(metrics, node):
    """Set the gauges from the current state of an instance.

    Parameters
    ----------
    metrics : Metrics
        Collectors that are updated.
    node : Node
        The running instance.
    """
    metrics.set("active_requests", node.app.active)
    metrics.set("body_bytes", node.app.body_room.budget.held)
    metrics.set("configuration_version", node.store.version)
    metrics.set("configuration_rejected_version", node.store.rejected_version)
    metrics.set("platform_calls", node.platform.calls)
    metrics.set("published_instances", node.membership.published)
    links = list(node.links.by_peer.values())
    metrics.set("links_up", sum(link.up for link in links))
    for name in (n for n, (labels, _) in GAUGES.items() if labels):
        metrics.clear(name)
    for pool, coordinator in list(node.host.by_pool.items()):
        metrics.set("pool_waiting", len(coordinator.waiting_demands), service=pool)
        counted = coordinator.leases.counted_entries()
        metrics.set("pool_counted_entries", counted, service=pool)
        for name, record in list(coordinator.targets_by_id.items()):
            metrics.set("target_limit", record.limit.current, target=name)
            metrics.set("target_running", record.running, target=name)
