"""Store of the declared document that is in force at this instance."""

import asyncio
from collections import OrderedDict
from typing import Any

from .declarations import parse_declarations
from .errors import DeclarationError
from .log import get_logger
from .messages import ConfigurationUpdate

log = get_logger("configuration")

# Recent documents are kept so that peers can be sent deltas against them.
MAX_RECENT_DOCUMENTS = 4


class ConfigurationStore:
    """Holds the newest valid document; its version never decreases.

    Attributes
    ----------
    version : int
        Version in force; 0 before the first document.
    declarations : Declarations or None
        The document in force.
    rejected_version : int
        Newest version that was invalid; 0 if there was none.
    problems : list of str
        Problems of the newest invalid document, or of conflicting versions.
    older_platform_version : int
        Version last read from the platform if it is below the one in force; 0 if
        the platform is up to date.
    may_dispatch : callable
        Returns whether the configuration of this instance is recent enough for new
        dispatches.
    """

    def __init__(self):
        self.version = 0
        self.declarations: Any = None
        self.document = b""
        self.rejected_version = 0
        self.problems: list[str] = []
        self.older_platform_version = 0
        self.may_dispatch = lambda: True
        self._recent_documents: OrderedDict[int, bytes] = OrderedDict({0: b""})
        self._listeners = []

    def subscribe(self, listener):
        """Call a function with each `ConfigurationUpdate` that comes into force."""
        self._listeners.append(listener)

    def offer(self, version, document, source):
        """Put a document in force if it is newer and valid.

        Parameters
        ----------
        version : int
            Version assigned by the configuration service.
        document : bytes
            JSON or YAML text.
        source : str
            Origin of the document; "platform" also checks for an older or conflicting
            version.

        Returns
        -------
        bool
            True if the document has come into force.
        """
        if not self._is_new(version, document, source):
            return False
        return self._apply(version, document, source, _parse(document))

    async def offer_in_thread(self, version, document, source):
        """Like `offer`, but parse in a thread, because parsing takes seconds."""
        if not self._is_new(version, document, source):
            return False
        parsed = await asyncio.to_thread(_parse, document)
        # A newer document may have come into force in the meantime.
        return self._is_new(version, document, source) and self._apply(
            version, document, source, parsed
        )

    def _is_new(self, version, document, source):
        if source == "platform":
            self._check_platform_version(version, document)
        return version > max(self.version, self.rejected_version)

    def _check_platform_version(self, version, document):
        previous, self.older_platform_version = (
            self.older_platform_version,
            version if version < self.version else 0,
        )
        if self.older_platform_version and self.older_platform_version != previous:
            log.warning(
                "the platform has an older document; the newer one stays in force",
                offered=version,
                version=self.version,
            )
        if version == self.version and document != self.document:
            problem = f"version {version} names two documents"
            if problem not in self.problems:
                self.problems = [problem]
                log.error("the platform has two documents with the same version")

    def _apply(self, version, document, source, parsed):
        if isinstance(parsed, DeclarationError):
            self.rejected_version = version
            self.problems = parsed.problems
            log.error(
                "rejected an invalid document; the previous one stays in force",
                version=version,
                source=source,
                problems=parsed.problems,
            )
            return False
        self.version, self.document = version, document
        self.declarations, self.problems = parsed, []
        self._recent_documents[version] = document
        while len(self._recent_documents) > MAX_RECENT_DOCUMENTS:
            self._recent_documents.popitem(last=False)
        log.info("a document has come into force", version=version, source=source)
        update = ConfigurationUpdate(version, document)
        for listener in self._listeners:
            listener(update)
        return True

    def recent_document(self, version):
        """Return a document that was recently in force, or None; version 0 is empty."""
        return b"" if version == 0 else self._recent_documents.get(version)

    def takes_new_work(self, target):
        """Return whether this instance may dispatch a new request to a target now."""
        return self.may_dispatch() and self.declarations.takes_new_work(target)

    def update_for(self, version):
        """Return an update for a peer with an older version, otherwise None."""
        if version < self.version:
            return ConfigurationUpdate(self.version, self.document)
        return None

    def snapshot(self):
        """Return the state for the dump."""
        return {
            "version": self.version,
            "rejected_version": self.rejected_version,
            "problems": self.problems,
            "platform_behind_at": self.older_platform_version,
        }


def _parse(document):
    try:
        return parse_declarations(document)
    except DeclarationError as error:
        return error
