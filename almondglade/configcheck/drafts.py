"""A configuration as its operator wrote it, with the place of each entry.

Unlike the `Catalogue` of a running gateway it keeps what stands twice. Keys are kept
as their hashes only.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from ..catalogue import Route, ServiceTerms, WorkspaceTerms


class Severity(StrEnum):
    """Whether a finding makes a configuration invalid."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True)
class Finding:
    """One thing that is wrong or probably unintended.

    Parameters
    ----------
    severity : Severity
        Whether the configuration is invalid because of it.
    place : str
        Path of keys of the entry in the file; empty for the whole file.
    text : str
        What is wrong, in one line.
    term : str
        Attribute of the entry that it is about; empty for the whole entry.
    """

    severity: Severity
    place: str
    text: str
    term: str = ""


@dataclass(frozen=True)
class Share:
    """One share of a route's requests."""

    place: str
    service: str
    weight: float


@dataclass(frozen=True)
class RouteEntry:
    """A route in the file.

    Parameters
    ----------
    place : str
        Path of keys in the file.
    terms : Route
        The route as a gateway would read it.
    shares : tuple of Share
        Its destinations, those that stand twice included.
    known_type : bool
        Whether its type is one that the product knows.
    has_idle_split : bool
        Whether a split stands beside a single service, which comes first.
    """

    place: str
    terms: Route
    shares: tuple[Share, ...]
    known_type: bool = True
    has_idle_split: bool = False


@dataclass(frozen=True)
class ServiceEntry:
    """A service in the file."""

    place: str
    terms: ServiceTerms


@dataclass(frozen=True)
class KeyEntry:
    """A key in the file; only its hash is kept, as 64 hexadecimal digits."""

    place: str
    digest: str


@dataclass(frozen=True)
class WorkspaceEntry:
    """A workspace in the file."""

    place: str
    terms: WorkspaceTerms
    keys: tuple[KeyEntry, ...]


@dataclass(frozen=True)
class LimitsEntry:
    """Limits on requests in the file, in bytes and seconds; None if not stated."""

    place: str
    max_body_bytes: int
    max_header_bytes: int | None = None
    header_timeout: float | None = None
    idle_timeout: float | None = None


@dataclass(frozen=True)
class Draft:
    """A readable configuration.

    Parameters
    ----------
    version : int
        Its version.
    routes, services, workspaces : tuple of entries
        In the order of the file.
    requires_keys : bool
        Whether callers need keys.
    limits : LimitsEntry
        Limits on requests.
    """

    version: int
    routes: tuple[RouteEntry, ...]
    services: tuple[ServiceEntry, ...]
    workspaces: tuple[WorkspaceEntry, ...]
    requires_keys: bool
    limits: LimitsEntry

    @property
    def entries(self):
        """All entries but the limits."""
        return (*self.routes, *self.services, *self.workspaces)


@dataclass(frozen=True)
class Intent:
    """Settings of a deployment that its configuration must make possible.

    Parameters
    ----------
    retry_share, hedge_share : float
        Greatest number of retries or hedged requests per request; 0 if there are none.
    """

    retry_share: float = 0.0
    hedge_share: float = 0.0


@dataclass
class Report:
    """What a check has found.

    Parameters
    ----------
    findings : list of Finding
        Ordered by severity and place.
    changes : list of Change or None
        Differences from the version in force; None if there was none to compare with.
    """

    findings: list[Finding] = field(default_factory=list)
    changes: list | None = None

    def texts_of(self, severity):
        """Return the findings of one severity."""
        return [finding for finding in self.findings if finding.severity is severity]
