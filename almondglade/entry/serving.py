"""CherryPy request and response classes for a port that relays to targets.

Paths, queries, cookies and bodies are for the targets and are not interpreted here.
Response headers are a list, so that repeated headers stay separate.
"""

from http import HTTPStatus

import cherrypy

from ..outcome import Code, Outcome, RequestError

REASON_BY_STATUS = {status.value: status.phrase for status in HTTPStatus}


class EntryRequest(cherrypy.Application.request_class):
    """A request that is handled by the root's ``handle`` for every path."""

    process_request_body = False
    show_tracebacks = False

    def process_headers(self):
        """Leave the headers to the application."""

    def process_query_string(self):
        """Leave the query to the target."""

    def get_resource(self, path):
        """Dispatch any path to the root's handler."""
        self.config = {}
        self.handler = self.app.root.handle

    def handle_error(self):
        """Respond to an error that the root did not handle."""
        response = cherrypy.serving.response
        if hasattr(response.body, "close"):
            response.body.close()
        response.refuse(internal_error(), "")
        response.finalize()


class EntryResponse(cherrypy.Application.response_class):
    """A response with its headers in a list.

    Attributes
    ----------
    header_pairs : list of (str, str)
        Headers in order.
    """

    def __init__(self):
        super().__init__()
        self.status = 200
        self.header_pairs = []

    def refuse(self, error, request_id):
        """Make this the response to a `RequestError`."""
        self.stream = False
        self.status = error.code.status
        self.header_pairs = error.headers()
        self.body = error.document(request_id)

    def finalize(self):
        """Prepare the status line and headers for the server."""
        reason = REASON_BY_STATUS.get(self.status, "")
        self.output_status = f"{self.status} {reason}".encode()
        self.header_list = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in self.header_pairs
        ]
        if not self.stream and not any(
            name.lower() == "content-length" for name, _ in self.header_pairs
        ):
            length = str(sum(map(len, self.body)))
            self.header_list.append((b"Content-Length", length.encode()))


def internal_error():
    """Return the error for an unexpected fault of this instance."""
    return RequestError(
        Code.INTERNAL, "this instance failed to answer", Outcome.UNKNOWN
    )
