"""Handshake, heartbeat and configuration messages of a link."""

import math
from dataclasses import dataclass


@dataclass(frozen=True)
class Hello:
    """The first message on a link."""

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
        Configuration version that the sender uses.
    confirmed_age : float
        Seconds since that version was last known to be the newest.
    majority_age : float
        Seconds since a majority of the relays was last known to be in contact with
        each other.
    leaving : bool
        Whether the sender is about to stop.
    interval : float
        Seconds within which the next heartbeat follows; 0 if unknown.
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
    """A complete configuration document, sent from peer to peer."""

    version: int
    document: bytes


@dataclass(frozen=True)
class ConfigurationRequest:
    """Asks for the current document; `version` is the one that the sender has."""

    version: int


@dataclass(frozen=True)
class ConfigurationPart:
    """A chunk of the compressed difference between two configuration documents.

    Parameters
    ----------
    version : int
        Version of the new document.
    base_version : int
        Version of the older document; 0 for an empty one.
    prefix, suffix : int
        Number of bytes at the start and at the end that both documents share.
    offset, total : int
        Byte offset of `data` in the compressed difference, and the length of the
        whole difference.
    checksum : int
        XXH64 hash of the new document.
    """

    version: int
    base_version: int
    prefix: int
    suffix: int
    offset: int
    total: int
    checksum: int
    data: bytes
