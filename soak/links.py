"""Links from single gateways to all targets, which can be cut."""

import contextlib
import socket
from dataclasses import replace

import orjson

from almondglade.httpserver import HttpServer
from standin.platform import PlatformApp

from .proxy import LOOPBACK, Proxy

CUT_MODES = ("hang", "reset", "live")
# Connections are accepted, and nothing passes on them.
MUTE = "mute"
# Reads of the store by one gateway at a time: a watch, and some reads.
STORE_THREADS = 8


class LinkProxy(Proxy):
    """The link from one gateway to one target, which can be cut and healed."""

    def __init__(self, port):
        super().__init__(port)
        self._fillers = []

    def stop_accepting(self, mode):
        """Let new connections hang or be accepted in vain, or refuse them."""
        if mode == MUTE:
            self.is_mute = True
            return
        self._close_listener()
        if mode == "hang":
            self._listener = socket.create_server((LOOPBACK, self.port), backlog=0)
            # With its queue full, the listener drops the packets of new connections.
            for _ in range(3):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex((LOOPBACK, self.port))
                self._fillers.append(filler)

    def disturb(self, mode):
        """Silence or reset the open connections, or let them live on."""
        if mode in ("hang", MUTE):
            self.silence("in", "out")
        elif mode == "reset":
            self.reset()

    def heal(self):
        """Forward connections again."""
        for filler in self._fillers:
            filler.close()
        self._fillers = []
        self._close_listener()
        self.is_mute = False
        self.silent_directions = frozenset()
        self._listener = self._listen(self.port)
        self._start_thread(self._accept_connections, self._listener)

    def close(self):
        """Stop the proxy and reset its connections."""
        self._close_listener()
        self.reset()

    def _close_listener(self):
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()


class StoreView(PlatformApp):
    """The store as one gateway reads it, with other addresses of the targets.

    Parameters
    ----------
    app : PlatformApp
        The store.
    address_by_address : dict of str to str
    """

    def __init__(self, app, address_by_address):
        super().__init__()
        self.app = app
        self.address_by_address = address_by_address
        self._changed = app._changed

    def _behaviour(self, caller):
        return self.app._behaviour(caller)

    def _visible_contents(self, caller):
        contents = self.app._visible_contents(caller)
        items = {
            key: (self._translate(key, value), revision)
            for key, (value, revision) in contents.other_items_by_key.items()
        }
        return replace(contents, other_items_by_key=items)

    def _translate(self, key, value):
        if not key.startswith("servers/") or value is None:
            return value
        entry = orjson.loads(value)
        address = entry["address"]
        entry["address"] = self.address_by_address.get(address, address)
        return orjson.dumps(entry)


class GatewayLinks:
    """The links from one gateway to all targets, and the store as it reads it.

    Parameters
    ----------
    app : PlatformApp
        The store.
    target_urls : list of str
        URLs under which the targets are listed.

    Attributes
    ----------
    store_address : str
        Address at which the gateway reads the store.
    """

    def __init__(self, app, target_urls):
        address_by_address = {}
        self._proxies = []
        for url in target_urls:
            address = url.removeprefix("http://")
            proxy = LinkProxy(int(address.rpartition(":")[2]))
            self._proxies.append(proxy)
            address_by_address[address] = f"{LOOPBACK}:{proxy.port}"
        self._store = HttpServer(
            LOOPBACK, 0, StoreView(app, address_by_address), STORE_THREADS, 2
        )
        self._store.start()

    @property
    def store_port(self):
        """Port at which the gateway reads the store."""
        return self._store.port

    @property
    def store_address(self):
        """Address at which the gateway reads the store."""
        return f"{LOOPBACK}:{self._store.port}"

    def cut(self, mode):
        """Cut all links, in one of `CUT_MODES` or `MUTE`.

        No connection is disturbed before all links refuse new ones: a target behind a
        link that is still whole would tell that only another target has ended.
        """
        for proxy in self._proxies:
            proxy.stop_accepting(mode)
        for proxy in self._proxies:
            proxy.disturb(mode)

    def heal(self):
        """Forward connections on all links again."""
        for proxy in self._proxies:
            proxy.heal()

    def close(self):
        """Close the links and the view of the store."""
        for proxy in self._proxies:
            proxy.close()
        self._store.stop()
