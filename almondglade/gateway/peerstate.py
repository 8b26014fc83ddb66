"""Read from peers what the platform has published, while the store does not tell.

Load pattern: the store turns some gateways away for seconds, or comes back from an
older copy, while routes, keys and targets change. The other gateways know the newest
state, and every report tells how new it is.
"""

import asyncio
from dataclasses import dataclass

import orjson
import urllib3
from urllib3.exceptions import HTTPError

from ..errors import PeerError
from ..feed import Batch
from ..log import get_logger

log = get_logger("discovery")

# Header of a request for the published state on the port for peers.
STATE_HEADER = "X-Almondglade-State"
CONNECT_TIMEOUT_SECONDS = 0.3
RESPONSE_TIMEOUT_SECONDS = 1.0
# A watch of a sound store returns a change before a peer's report and this time.
WATCH_MARGIN_SECONDS = 0.3
# Pause after a reading, as each report may tell of a newer state.
PAUSE_SECONDS = 0.5


def is_state_request(pairs):
    """Return whether the headers of a request ask for the published state."""
    return any(name.lower() == STATE_HEADER.lower() for name, _ in pairs)


def encode_state(registry):
    """Return the published state that a gateway knows, as JSON."""
    era, revision, items = registry.published_items()
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
        self.address = settings.address
        self.port = settings.peer_port
        self.registry = registry
        self.decode_items = decode_items
        self.peers = peers
        self.is_store_reachable = is_store_reachable
        self.metrics = metrics
        self.clock = clock
        self._is_scheduled = False
        self._pause_until = float("-inf")
        self._loop = asyncio.get_running_loop()
        self._pool: urllib3.PoolManager | None = None

    def record(self, peer, version, store_position):
        """Record how new a peer's state is; call on the event loop."""
        position = PeerPosition(peer, version, store_position)
        if not self._is_ahead(position):
            return
        if not self._is_scheduled and self.clock() >= self._pause_until:
            self._is_scheduled = True
            delay = WATCH_MARGIN_SECONDS if self.is_store_reachable() else 0.0
            self._loop.call_later(delay, self._start_reading, position)

    def _is_ahead(self, position):
        catalogue = self.registry.catalogue
        if position.version > (catalogue.version if catalogue else 0):
            return True
        return (
            not self.is_store_reachable()
            and position.store_position > self.registry.position
        )

    def _start_reading(self, position):
        address = next(
            (peer.address for peer in self.peers() if peer.instance == position.peer),
            None,
        )
        if address is None or not self._is_ahead(position):
            self._is_scheduled = False
            return
        self._loop.run_in_executor(None, self._read, position, address)

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
            self._pause_until = self.clock() + PAUSE_SECONDS
            self._is_scheduled = False

    def _request(self, address):
        if self._pool is None:
            self._pool = urllib3.PoolManager(
                retries=False,
                # Peers are known by their addresses.
                source_address=(self.address, 0),
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_SECONDS, read=RESPONSE_TIMEOUT_SECONDS
                ),
            )
        url = f"http://{address}:{self.port}/"
        try:
            response = self._pool.request("GET", url, headers={STATE_HEADER: "1"})
        except (HTTPError, OSError) as error:
            raise PeerError(f"the peer cannot be reached: {error}") from error
        if response.status != 200:
            raise PeerError(f"the peer responded with status {response.status}")
        return response.data

    def _decode(self, data):
        try:
            state = orjson.loads(data)
            era, revision = int(state["era"]), int(state["revision"])
            updates = self.decode_items(state["items"], era)
        except (KeyError, TypeError, ValueError) as error:
            raise PeerError(f"malformed published state: {error!r}") from error
        return Batch(updates, revision, True, float("-inf"), era, is_from_store=False)
