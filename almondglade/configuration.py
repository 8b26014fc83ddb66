"""The declared document in force at this instance."""

from typing import Any

from .declarations import parse_declarations
from .errors import DeclarationError
from .log import get_logger
from .messages import ConfigurationUpdate

log = get_logger("configuration")


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
    """

    def __init__(self):
        self.version = 0
        self.declarations: Any = None
        self.document = b""
        self.rejected_version = 0
        self.problems: list[str] = []
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
        if version <= max(self.version, self.rejected_version):
            return False
        try:
            declarations = parse_declarations(document)
        except DeclarationError as error:
            self.rejected_version = version
            self.problems = error.problems
            log.error(
                "refused a document, the former one stays in force",
                version=version,
                problems=error.problems,
            )
            return False
        self.version, self.document = version, document
        self.declarations = declarations
        log.info("put a document in force", version=version, source=source)
        update = ConfigurationUpdate(version, document)
        for listener in self._listeners:
            listener(update)
        return True

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
        }
