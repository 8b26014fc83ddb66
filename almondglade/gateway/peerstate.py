"""Read from peers what the platform has published, while the store does not tell.

Load pattern: the store turns some gateways away for seconds, or comes back from an
older copy, while routes, keys and targets change. The other gateways know the newest
state, and every report tells how new it is.
"""

import asyncio
from dataclasses import dataclass

import orjson

from ..dispatch.call import CallLimits
from ..dispatch.fetching import Fetcher
from ..errors import PeerError, TargetError
from ..feed import Batch
from ..log import get_logger
from .discovery import MAX_COALESCE_SECONDS

log = get_logger("discovery")

# Header of a request for the published state on the port for peers: era, revision and
# version of the configuration that the reader has.
STATE_HEADER = "X-Almondglade-State"
# Time limits: for a connection, for each pause of the response, and for all of it.
LIMITS = CallLimits(connect=0.3, first_byte=1.0, between_bytes=1.0, total=10.0)
MAX_STATE_BYTES = 8 << 20
# Within this time a peer of the same data centre reports, too.
PEER_MARGIN_SECONDS = 0.3
# A sound store tells of a change within this time after a peer's report: an instance
# pauses after its last reading, as its peer need not have.
STORE_MARGIN_SECONDS = MAX_COALESCE_SECONDS + PEER_MARGIN_SECONDS
# Pause after a reading, as each report may tell of a newer state.
PAUSE_SECONDS = 0.5
# The same for changes of targets alone, which requests find out as well.
TARGETS_PAUSE_SECONDS = 1.5


@dataclass(frozen=True)
class ReaderState:
    """What the reader of a published state has already.

    Parameters
    ----------
    store_position : (int, int)
        Era and revision of the store up to which it has read.
    version : int
        Version of its configuration; 0 if it has none.
    """

    store_position: tuple[int, int]
    version: int

    def encode(self):
        """Return the value of the header."""
        return ",".join(map(str, (*self.store_position, self.version)))


def parse_state_request(pairs):
    """Return the `ReaderState` in the headers of a request, or None if it has none.

    Raises
    ------
    PeerError
        If it is not valid.
    """
    text = next(
        (value for name, value in pairs if name.lower() == STATE_HEADER.lower()), None
    )
    if text is None:
        return None
    try:
        era, revision, version = map(int, text.split(","))
    except ValueError as error:
        raise PeerError(f"malformed state of a reader: {error}") from error
    return ReaderState((era, revision), version)


def encode_state(registry, reader):
    """Return the published state that a gateway knows, as JSON.

    Items that the reader has are without their values.
    """
    era, revision, items = registry.published_items(reader)
    return orjson.dumps({"era": era, "revision": revision, "items": items})


@dataclass(frozen=True)
class PeerPosition:
    """How new a peer's state is.

    Parameters
    ----------
    version : int
        Version of its configuration.
    store_position : (int, int)
        Era and revision of the store up to which it has read.
    """

    peer: str
    version: int
    store_position: tuple[int, int]


class PeerStateReader:
    """Reads the published state from a peer that knows a newer one.

    Parameters
    ----------
    settings : GatewaySettings
        Address of this instance, and the port for peers.
    registry : Registry
        Gets what was read.
    decode_items : callable
        Takes a list of items as peers send them and an era, and returns updates.
    peers : callable
        Returns the live `Peer`s of the fleet.
    is_store_reachable : callable
        Returns whether this instance reads the store itself.
    metrics : Metrics
        Where readings are counted.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        settings,
        registry,
        decode_items,
        peers,
        is_store_reachable,
        metrics,
        clock,
    ):
        self.data_centre = settings.data_centre
        self.port = settings.peer_port
        self.registry = registry
        self.decode_items = decode_items
        self.peers = peers
        self.is_store_reachable = is_store_reachable
        self.metrics = metrics
        self.clock = clock
        self._position_by_peer: dict[str, PeerPosition] = {}
        self._is_scheduled = False
        self._read_at = float("-inf")
        self._loop = asyncio.get_running_loop()
        # Peers are known by their addresses.
        self._fetcher = Fetcher(MAX_STATE_BYTES, source_address=settings.address)

    def record(self, peer, version, store_position):
        """Record how new a peer's state is; call on the event loop."""
        position = PeerPosition(peer, version, store_position)
        self._position_by_peer[peer] = position
        if not self._is_scheduled and self._is_ahead(position):
            self._is_scheduled = True
            delay = (
                STORE_MARGIN_SECONDS
                if self.is_store_reachable()
                else PEER_MARGIN_SECONDS
            )
            self._loop.call_later(delay, self._start_reading, position)

    def _reader_state(self):
        catalogue = self.registry.catalogue
        return ReaderState(
            self.registry.position, catalogue.version if catalogue else 0
        )

    def _is_ahead(self, position):
        reader = self._reader_state()
        since_reading = self.clock() - self._read_at
        if position.version > reader.version:
            return since_reading >= PAUSE_SECONDS
        return (
            not self.is_store_reachable()
            and position.store_position > reader.store_position
            and since_reading >= TARGETS_PAUSE_SECONDS
        )

    def _start_reading(self, reason):
        """Read from the best peer that is ahead, one in the same data centre if any.

        Parameters
        ----------
        reason : PeerPosition
            What was ahead when the reading was scheduled; in a series of changes a
            peer always is.
        """
        if not self._is_ahead(reason):
            self._is_scheduled = False
            return
        ahead = [
            (position.version, peer.data_centre == self.data_centre, position, peer)
            for peer in self.peers()
            for position in (self._position_by_peer.get(peer.instance),)
            if position is not None and self._is_ahead(position)
        ]
        if not ahead:
            self._is_scheduled = False
            return
        *_, position, peer = max(ahead, key=lambda entry: entry[:2])
        self._loop.run_in_executor(None, self._read, position, peer.address)

    def _read(self, position, address):
        """Read the state of a peer and apply it; runs in a thread."""
        try:
            batch = self._decode(self._request(address))
            applied = self.registry.apply_batch(batch)
        except PeerError as error:
            log.warning(
                "published state not read from a peer",
                peer=position.peer,
                version=position.version,
                cause=str(error),
            )
            self.metrics.count("peer_state_readings_total", result="failed")
        except Exception:
            log.exception("unexpected error while reading a peer's published state")
        else:
            log.info(
                "published state read from a peer",
                peer=position.peer,
                version=position.version,
                era=batch.era,
                revision=batch.revision,
                applied=applied,
                store_reachable=bool(self.is_store_reachable()),
            )
            self.metrics.count("peer_state_readings_total", result="read")
        finally:
            self._read_at = self.clock()
            self._is_scheduled = False

    def _request(self, address):
        url = f"http://{address}:{self.port}"
        headers = [(STATE_HEADER, self._reader_state().encode())]
        try:
            response = self._fetcher.get(url, "/", LIMITS, headers)
        except TargetError as error:
            raise PeerError(f"the peer cannot be reached: {error}") from error
        if response.status != 200:
            raise PeerError(f"the peer responded with status {response.status}")
        return response.body

    def _decode(self, data):
        try:
            state = orjson.loads(data)
            era, revision = int(state["era"]), int(state["revision"])
            updates = self.decode_items(state["items"], era)
        except (KeyError, TypeError, ValueError) as error:
            raise PeerError(f"malformed published state: {error!r}") from error
        return Batch(updates, revision, True, float("-inf"), era, is_from_store=False)
