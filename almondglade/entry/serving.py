"""CherryPy's request and response for a port that passes all through.

Paths, queries, cookies and bodies belong to the targets, so nothing of them is
interpreted here; headers go out as a list, which keeps repeated ones apart.
"""

from http import HTTPStatus

import cherrypy

from ..outcome import Code, Outcome, RequestError

REASON_BY_STATUS = {status.value: status.phrase for status in HTTPStatus}


class EntryRequest(cherrypy.Application.request_class):
    """A request whose every path is answered by the root's ``handle``."""

    process_request_body = False
    show_tracebacks = False

    def process_headers(self):
        """Leave the headers to the application."""

    def process_query_string(self):
        """Leave the query to the target."""

    def get_resource(self, path):
        """Answer any path by the root."""
        self.config = {}
        self.handler = self.app.root.handle

    def handle_error(self):
        """Answer an error that the root did not expect."""
        response = cherrypy.serving.response
        if hasattr(response.body, "close"):
            response.body.close()
        response.refuse(internal_error(), "")
        response.finalize()


class EntryResponse(cherrypy.Application.response_class):
    """An answer with its headers in a list.

    Attributes
    ----------
    header_pairs : list of (str, str)
        Headers in their order.
    """

    def __init__(self):
        super().__init__()
        self.status = 200
        self.header_pairs = []

    def refuse(self, error, request_id):
        """Answer with a `RequestError`."""
        self.stream = False
        self.status = error.code.status
        self.header_pairs = error.headers()
        self.body = error.document(request_id)

    def finalize(self):
        """Prepare what the server sends."""
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
    """Return what a caller is told of a fault of this instance."""
    return RequestError(
        Code.INTERNAL, "this instance failed to answer", Outcome.UNKNOWN
    )
