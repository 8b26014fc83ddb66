"""Bind CherryPy applications to ports of their own."""

import threading

import cherrypy
from cheroot import wsgi

SOCKET_TIMEOUT_SECONDS = 10
STOP_SECONDS = 2
BACKLOG = 512

cherrypy.config.update(
    {
        "environment": "embedded",
        "log.screen": False,
        "log.access_file": "",
        "log.error_file": "",
        "engine.autoreload.on": False,
    }
)

APP_CONFIG = {
    "/": {
        "request.process_request_body": False,
        "request.show_tracebacks": False,
        "tools.encode.on": False,
    }
}


class HttpServer:
    """One port served by a bounded pool of threads.

    Parameters
    ----------
    address : str
        IP number to bind.
    port : int
        TCP port.
    root : object
        CherryPy root with exposed handlers.
    threads : int
        Number of threads, and so of requests at once.
    """

    def __init__(self, address, port, root, threads):
        self.port = port
        app = cherrypy.Application(root, "", APP_CONFIG)
        self._server = wsgi.Server(
            (address, port),
            app,
            numthreads=threads,
            max=threads,
            server_name="almondglade",
            request_queue_size=BACKLOG,
            timeout=SOCKET_TIMEOUT_SECONDS,
            shutdown_timeout=STOP_SECONDS,
        )
        self._thread = threading.Thread(target=self._serve, daemon=True)

    def start(self):
        """Bind the port and serve it in a thread.

        Raises
        ------
        OSError
            If the port cannot be bound.
        """
        self._server.prepare()
        self._thread.start()

    def _serve(self):
        self._server.serve()

    def end_keep_alive(self):
        """Close each connection after its next answer."""
        self._server.keep_alive_conn_limit = 0

    def stop(self):
        """Stop serving."""
        self._server.stop()
