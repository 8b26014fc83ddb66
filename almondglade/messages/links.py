"""Greetings, heartbeats and documents on a link."""

import math
from dataclasses import dataclass


@dataclass(frozen=True)
class Hello:
    """The first message of a link."""

    instance: str
    incarnation: str
    configuration_version: int
    protocol: int = 1
    proof: str = ""


@dataclass(frozen=True)
class Ping:
    """A heartbeat.

    Parameters
    ----------
    sent_at : float
        Sender's monotonic clock, seconds.
    echo : float
        Latest ``sent_at`` received from the other side.
    configuration_version : int
        Version in force at the sender.
    confirmed_age : float
        Seconds since that version was known to be the newest.
    majority_age : float
        Seconds since a majority of the relays was known to be in contact.
    leaving : bool
        Whether the sender is about to stop.
    interval : float
        Seconds within which the next heartbeat follows; 0 when not known.
    """

    sent_at: float
    echo: float
    configuration_version: int
    confirmed_age: float = math.inf
    majority_age: float = math.inf
    leaving: bool = False
    interval: float = 0.0


@dataclass(frozen=True)
class ConfigurationUpdate:
    """A declared document passed on between peers."""

    version: int
    document: bytes


@dataclass(frozen=True)
class ConfigurationRequest:
    """Asks for the document in force; `version` is the one already held."""

    version: int


@dataclass(frozen=True)
class ConfigurationPart:
    """A piece of a document's compressed difference from an older one.

    Parameters
    ----------
    base_version : int
        The older document; 0 for an empty one.
    prefix, suffix : int
        Bytes at the start and the end that both documents share.
    offset, total : int
        Place of `data` in the compressed difference, and its whole length.
    checksum : int
        XXH64 of the new document.
    """

    version: int
    base_version: int
    prefix: int
    suffix: int
    offset: int
    total: int
    checksum: int
    data: bytes
