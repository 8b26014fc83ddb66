"""The declared document in force at this instance."""

import asyncio
from collections import OrderedDict
from typing import Any

from .declarations import parse_declarations
from .errors import DeclarationError
from .log import get_logger
from .messages import ConfigurationUpdate

log = get_logger("configuration")

# Former documents are kept, so that peers get differences from them.
KEPT_DOCUMENTS = 4


class ConfigurationStore:
    """Holds the newest valid document; versions never go back.

    Attributes
    ----------
    version : int
        Version in force; 0 before the first.
    declarations : Declarations or None
        The document in force.
    rejected_version : int
        Newest version that was not valid; 0 when none was.
    problems : list of str
        What was wrong with it.
    behind : int
        Version that the platform last offered below the one in force; 0 when
        it offers a current one.
    may_dispatch : callable
        Tells whether this instance is current enough for new dispatches.
    """

    def __init__(self):
        self.version = 0
        self.declarations: Any = None
        self.document = b""
        self.rejected_version = 0
        self.problems: list[str] = []
        self.behind = 0
        self.may_dispatch = lambda: True
        self._former: OrderedDict[int, bytes] = OrderedDict({0: b""})
        self._listeners = []

    def subscribe(self, listener):
        """Call a function with each newer `ConfigurationUpdate` in force."""
        self._listeners.append(listener)

    def offer(self, version, document, source):
        """Put a document in force if it is newer and valid.

        Parameters
        ----------
        version : int
            Version given by the configuration service.
        document : bytes
            JSON or YAML text.
        source : str
            Where it came from, for the log.

        Returns
        -------
        bool
            True if it is now in force.
        """
        if not self._is_new(version, document, source):
            return False
        return self._take(version, document, source, _parse(document))

    async def offer_in_thread(self, version, document, source):
        """Do the same, with the parsing off the loop, since it takes seconds."""
        if not self._is_new(version, document, source):
            return False
        parsed = await asyncio.to_thread(_parse, document)
        # A newer one may have come into force meanwhile.
        return self._is_new(version, document, source) and self._take(
            version, document, source, parsed
        )

    def _is_new(self, version, document, source):
        if source == "platform":
            self._compare(version, document)
        return version > max(self.version, self.rejected_version)

    def _compare(self, version, document):
        former, self.behind = self.behind, version if version < self.version else 0
        if self.behind and self.behind != former:
            log.warning(
                "the platform offers an older document, the newer one stays in force",
                offered=version,
                version=self.version,
            )
        if version == self.version and document != self.document:
            problem = f"version {version} stands for two documents"
            if problem not in self.problems:
                self.problems = [problem]
                log.error("the platform offers two documents as one version")

    def _take(self, version, document, source, parsed):
        if isinstance(parsed, DeclarationError):
            self.rejected_version = version
            self.problems = parsed.problems
            log.error(
                "refused a document, the former one stays in force",
                version=version,
                source=source,
                problems=parsed.problems,
            )
            return False
        self.version, self.document = version, document
        self.declarations, self.problems = parsed, []
        self._former[version] = document
        while len(self._former) > KEPT_DOCUMENTS:
            self._former.popitem(last=False)
        log.info("put a document in force", version=version, source=source)
        update = ConfigurationUpdate(version, document)
        for listener in self._listeners:
            listener(update)
        return True

    def recent_document(self, version):
        """Return a document lately in force, or None; version 0 is empty."""
        return b"" if version == 0 else self._former.get(version)

    def takes_new_work(self, target):
        """Tell whether a target may receive a new dispatch from here, now."""
        return self.may_dispatch() and self.declarations.takes_new_work(target)

    def update_for(self, version):
        """Return the document for a peer at an older version, else None."""
        if version < self.version:
            return ConfigurationUpdate(self.version, self.document)
        return None

    def snapshot(self):
        """Return the state for the dump."""
        return {
            "version": self.version,
            "rejected_version": self.rejected_version,
            "problems": self.problems,
            "platform_behind_at": self.behind,
        }


def _parse(document):
    try:
        return parse_declarations(document)
    except DeclarationError as error:
        return error
