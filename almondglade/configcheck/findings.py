"""Find errors, dead entries and contradictory limits in a configuration.

Answers the outage that begins with a mistake in a configuration: one that no gateway
takes, or one that all take although it sends requests nowhere.
"""

from collections import Counter
from functools import singledispatch
from itertools import chain

from .drafts import (
    Finding,
    KeyEntry,
    RouteEntry,
    ServiceEntry,
    Severity,
    Share,
    WorkspaceEntry,
)

# Digits of a key's hash that are shown; 32 bits tell the keys of one file apart.
SHOWN_DIGITS = 8


def find_problems(draft, intent, in_force=None):
    """Return everything that is wrong with a draft or probably unintended.

    Parameters
    ----------
    draft : Draft
        The configuration to check.
    intent : Intent
        What the deployment is set to do.
    in_force : Draft or None
        The version in force, if known.

    Returns
    -------
    list of Finding
        Errors first, each severity in the order of the file.
    """
    findings = chain(
        _version_findings(draft, in_force),
        chain.from_iterable(check_entry(entry, draft) for entry in draft.entries),
        _repeated_names("route", draft.routes),
        _repeated_names("service", draft.services),
        _repeated_names("workspace", draft.workspaces),
        _repeated_keys(draft.workspaces),
        _hidden_routes(draft.routes),
        _idle_keys(draft),
        _limit_findings(draft.limits),
        _intent_findings(draft.routes, intent),
    )
    return sorted(findings, key=lambda finding: finding.severity is Severity.WARNING)


@singledispatch
def check_entry(entry, draft):
    """Yield the findings about one entry of a draft.

    Parameters
    ----------
    entry : RouteEntry, ServiceEntry or WorkspaceEntry
        The entry.
    draft : Draft
        The whole configuration.
    """
    raise TypeError(f"no check for {type(entry).__name__}")


@check_entry.register
def _(entry: RouteEntry, draft):
    route = entry.terms
    yield from _share_findings(entry, {item.terms.name for item in draft.services})
    if not entry.known_type:
        yield _warning(entry, "is no known type, its requests are not repeated", "type")
    if entry.has_idle_split:
        yield _warning(entry, "has no effect beside a single service", "split")
    if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
        yield _warning(
            entry,
            "matches no request as it does not begin and end with a slash",
            "path_prefix",
        )
    if route.timeout < route.latency_objective:
        yield _warning(
            entry,
            f"{route.timeout:g} s is below the latency objective of"
            f" {route.latency_objective:g} s",
            "timeout",
        )
    if route.streaming and route.gap_objective > route.timeout:
        yield _warning(
            entry,
            f"{route.gap_objective:g} s is above the timeout of {route.timeout:g} s",
            "gap_objective",
        )
    if route.max_attempts > 1 and not route.repeatable:
        yield _warning(
            entry,
            f"{route.max_attempts} attempts on a route whose requests must not run"
            " twice: only those that did not run are sent again",
            "max_attempts",
        )


@check_entry.register
def _(entry: ServiceEntry, draft):
    name = entry.terms.name
    if not any(name in route.terms.weight_by_service for route in draft.routes):
        yield _warning(entry, f"no route leads to the service {name!r}")


@check_entry.register
def _(entry: WorkspaceEntry, draft):
    terms = entry.terms
    unit = "tokens" if terms.counts_tokens else "requests"
    least = terms.default_tokens if terms.counts_tokens else 1.0
    if not entry.keys:
        yield _warning(entry, f"the workspace {terms.name!r} has no key")
    if terms.rate and not terms.burst:
        yield _warning(entry, f"a rate of {terms.rate:g} {unit}/s has no burst", "rate")
    elif terms.burst and not terms.rate:
        yield _warning(entry, "has no effect without a rate", "burst")
    elif 0 < terms.burst < least:
        yield _warning(
            entry,
            f"{terms.burst:g} {unit} are below one request ({least:g})",
            "burst",
        )


def _share_findings(entry, services):
    if not entry.shares:
        yield _error(entry, "the route leads to no service")
    elif not any(share.weight for share in entry.shares):
        yield _warning(entry, "all shares of the split have weight 0")
    else:
        yield from (
            _warning(share, f"the service {share.service!r} receives nothing", "weight")
            for share in entry.shares
            if not share.weight
        )
    yield from (
        _error(share, f"the service {share.service!r} is not declared", "service")
        for share in entry.shares
        if share.service not in services
    )
    first_by_service: dict[str, Share] = {}
    for share in entry.shares:
        first = first_by_service.setdefault(share.service, share)
        if first is not share:
            yield _error(
                share,
                f"the service {share.service!r} stands already at {first.place}",
                "service",
            )


def _version_findings(draft, in_force):
    if in_force is not None and draft.version <= in_force.version:
        yield Finding(
            Severity.ERROR,
            "version",
            f"{draft.version} would not come into force, as {in_force.version} is"
            " in force",
        )


def _repeated_names(kind, entries):
    first_by_name: dict[str, RouteEntry | ServiceEntry | WorkspaceEntry] = {}
    for entry in entries:
        name = entry.terms.name
        if not name:
            continue
        first = first_by_name.setdefault(name, entry)
        if first is not entry:
            yield _error(
                entry, f"the {kind} {name!r} stands already at {first.place}", "name"
            )


def _repeated_keys(workspaces):
    first_by_digest: dict[str, KeyEntry] = {}
    for key in chain.from_iterable(entry.keys for entry in workspaces):
        first = first_by_digest.setdefault(key.digest, key)
        if first is not key:
            yield _error(
                key,
                f"the key {key.digest[:SHOWN_DIGITS]} stands already at {first.place}",
            )


def _hidden_routes(routes):
    # Of two routes with one prefix, gateways keep the later.
    last_by_match = {
        (entry.terms.host, entry.terms.path_prefix): entry for entry in routes
    }
    for entry in routes:
        last = last_by_match[entry.terms.host, entry.terms.path_prefix]
        if last is not entry:
            yield _warning(
                entry, f"is hidden by the same host and path prefix at {last.place}"
            )


def _idle_keys(draft):
    keys = sum(len(entry.keys) for entry in draft.workspaces)
    if keys and all(entry.terms.public for entry in draft.routes):
        yield _warning(draft.workspaces[0], f"no route needs a key, {keys} declared")


def _limit_findings(limits):
    header_timeout, idle_timeout = limits.header_timeout, limits.idle_timeout
    if None not in (header_timeout, idle_timeout) and header_timeout > idle_timeout:
        yield _warning(
            limits,
            f"{header_timeout:g} s is above the idle timeout of {idle_timeout:g} s",
            "header_timeout",
        )
    if (limits.max_header_bytes or 0) > limits.max_body_bytes:
        yield _warning(
            limits,
            f"{limits.max_header_bytes} bytes are above the"
            f" {limits.max_body_bytes} bytes of a body",
            "max_header_bytes",
        )


def _intent_findings(routes, intent):
    counts = Counter(
        (entry.terms.idempotent and not entry.terms.streaming)
        for entry in routes
        if entry.terms.max_attempts > 1
    )
    if intent.retry_share and not counts:
        yield Finding(
            Severity.WARNING,
            "routes",
            f"no route may use the retry budget of {intent.retry_share:g}, as all"
            " allow one attempt",
        )
    if intent.hedge_share and not counts[True]:
        yield Finding(
            Severity.WARNING,
            "routes",
            f"no route may use the hedge share of {intent.hedge_share:g}, as none"
            " allows a second attempt of requests that may run twice",
        )


def _error(entry, text, term=""):
    return Finding(Severity.ERROR, entry.place, text, term)


def _warning(entry, text, term=""):
    return Finding(Severity.WARNING, entry.place, text, term)
