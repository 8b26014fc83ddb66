"""Updates that are decoded from the state which a platform publishes."""

from dataclasses import dataclass

from .catalogue import Catalogue, TargetRecord


@dataclass(frozen=True)
class CatalogueUpdate:
    """A new declared document.

    Parameters
    ----------
    revision : int
        Revision of the store at which the document was written.
    """

    revision: int
    catalogue: Catalogue


@dataclass(frozen=True)
class EvacuationUpdate:
    """A data centre is evacuated, or is put back into service."""

    revision: int
    data_centre: str
    is_evacuated: bool


@dataclass(frozen=True)
class TargetUpdate:
    """A target was added or changed, or was removed (record is None)."""

    revision: int
    target: str
    record: TargetRecord | None


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
        Era of the store in which all these revisions count.
    """

    updates: tuple[Update, ...]
    revision: int
    is_snapshot: bool
    as_of: float
    era: int = 0
