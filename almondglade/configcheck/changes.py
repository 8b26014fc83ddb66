"""Differences between a draft and the version in force."""

from dataclasses import asdict

from ..declarations.changes import find_changes
from .findings import SHOWN_DIGITS

# What a key, of which nothing else is known, is shown as.
ACCEPTED = "accepted"


def changes_to(in_force, draft):
    """Return all differences, ordered by path.

    Parameters
    ----------
    in_force, draft : Draft
        The version in force and the new one.

    Returns
    -------
    list of Change
        Paths in the product's words; keys stand as the start of their hashes.
    """
    return list(find_changes("", _summary(in_force), _summary(draft)))


def _summary(draft):
    limits = asdict(draft.limits)
    del limits["place"]
    return {
        "version": draft.version,
        "requires_keys": draft.requires_keys,
        "limits": limits,
        "routes": {
            entry.terms.name or entry.terms.host + entry.terms.path_prefix: _terms(
                entry.terms
            )
            for entry in draft.routes
        },
        "services": {entry.terms.name: _terms(entry.terms) for entry in draft.services},
        "workspaces": {
            entry.terms.name: _terms(entry.terms)
            | {"keys": {key.digest[:SHOWN_DIGITS]: ACCEPTED for key in entry.keys}}
            for entry in draft.workspaces
        },
    }


def _terms(terms):
    # `asdict` cannot copy the immutable mapping of a route's weights.
    return {
        name: dict(value) if name == "weight_by_service" else value
        for name, value in vars(terms).items()
        if name != "name"
    }
