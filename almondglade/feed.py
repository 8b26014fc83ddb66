"""What a platform publishes, as updates for the rest of the system."""

from dataclasses import dataclass

from .catalogue import Catalogue, TargetRecord


@dataclass(frozen=True)
class CatalogueUpdate:
    """The declared document in force.

    Parameters
    ----------
    revision : int
        Revision of the store at which it was written.
    """

    revision: int
    catalogue: Catalogue


@dataclass(frozen=True)
class EvacuationUpdate:
    """A data centre is taken out of service or back."""

    revision: int
    data_centre: str
    is_evacuated: bool


@dataclass(frozen=True)
class TargetUpdate:
    """A target is listed, has changed, or is no longer listed (None)."""

    revision: int
    target: str
    record: TargetRecord | None


Update = CatalogueUpdate | EvacuationUpdate | TargetUpdate


@dataclass(frozen=True)
class Batch:
    """What one read of the platform returned.

    Parameters
    ----------
    updates : tuple of Update
        In the order of their revisions.
    revision : int
        Revision of the store up to which all is included.
    is_snapshot : bool
        Whether it is all that is published, not only what has changed.
    as_of : float
        Clock reading for which it is surely true.
    """

    updates: tuple[Update, ...]
    revision: int
    is_snapshot: bool
    as_of: float
