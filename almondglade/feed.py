"""Updates that are decoded from the state which a platform publishes."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from .catalogue import Catalogue, TargetRecord


@dataclass(frozen=True)
class PublishedItem:
    """Something that the platform publishes, as of its last change.

    Parameters
    ----------
    revision : int
        Revision of the store at which it was written.
    era : int or None
        Era of the store in which that revision counts; None for that of the batch.
    item : mapping or None
        The item from which it was decoded, to pass it on to peers.
    """

    revision: int
    era: int | None = field(default=None, kw_only=True)
    item: Mapping | None = field(default=None, kw_only=True, compare=False)


@dataclass(frozen=True)
class CatalogueUpdate(PublishedItem):
    """A new declared document."""

    catalogue: Catalogue


@dataclass(frozen=True)
class EvacuationUpdate(PublishedItem):
    """A data centre is evacuated, or is put back into service."""

    data_centre: str
    is_evacuated: bool


@dataclass(frozen=True)
class TargetUpdate(PublishedItem):
    """A target was added or changed, or was removed (record is None).

    Parameters
    ----------
    is_readable : bool
        False if the entry of the target cannot be decoded.
    is_first : bool
        Whether the target was not listed before.
    """

    target: str
    record: TargetRecord | None
    is_readable: bool = field(default=True, kw_only=True)
    is_first: bool = field(default=False, kw_only=True)


Update = CatalogueUpdate | EvacuationUpdate | TargetUpdate


@dataclass(frozen=True)
class Batch:
    """Result of one read of the platform's store.

    Parameters
    ----------
    updates : tuple of Update
        Updates in the order of their revisions.
    revision : int
        Revision of the store up to which all changes are included.
    is_snapshot : bool
        Whether it contains the complete published state rather than only changes.
    as_of : float
        Clock reading at which the result was certainly current, seconds.
    era : int
        Era of the store in which these revisions count.
    is_from_store : bool
        Whether it was read from the store, and not from a peer.
    """

    updates: tuple[Update, ...]
    revision: int
    is_snapshot: bool
    as_of: float
    era: int = 0
    is_from_store: bool = True
