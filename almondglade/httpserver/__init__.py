"""Serve CherryPy applications, each on its own port."""

import threading

import cherrypy

from .gate import GatedServer

STOP_SECONDS = 2

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
        IP address to bind.
    port : int
        TCP port.
    root : object
        CherryPy root with exposed handlers. CherryPy uses its attributes
        ``request_class`` and ``response_class`` if they exist.
    threads : int
        Maximum number of threads, which is the number of concurrent requests.
    initial_threads : int or None
        Threads that are started immediately; all if None.
    on_thread_wait : callable or None
        Takes the seconds for which each request waited for a thread.
    """

    def __init__(
        self, address, port, root, threads, initial_threads=None, on_thread_wait=None
    ):
        app = cherrypy.Application(root, "", APP_CONFIG)
        app.request_class = getattr(root, "request_class", app.request_class)
        app.response_class = getattr(root, "response_class", app.response_class)
        # Without CherryPy's pipeline, errors reach the server, which closes the
        # connection. Internal redirects and the access log are disabled.
        app.wsgiapp.pipeline.clear()
        app.log.access = no_access_log
        self._server = GatedServer(
            (address, port), app, threads, initial_threads or threads, STOP_SECONDS
        )
        self._server.on_thread_wait = on_thread_wait
        self._thread = threading.Thread(target=self._serve, daemon=True)

    def start(self):
        """Bind the port and serve it in a background thread.

        Raises
        ------
        OSError
            If the port cannot be bound.
        """
        self._server.prepare()
        self._thread.start()

    @property
    def port(self):
        """The bound TCP port."""
        return self._server.bind_addr[1]

    def _serve(self):
        self._server.serve()

    def end_keep_alive(self):
        """Close each connection after its next response."""
        self._server.keep_alive_enabled = False

    def stop(self):
        """Stop serving."""
        self._server.stop()


def no_access_log():
    """Write no access log, as each dispatch has a usage record."""
