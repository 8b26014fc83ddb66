"""Exception classes shared by all layers."""


class AlmondgladeError(Exception):
    """Base of all errors raised by almondglade."""


class SettingsError(AlmondgladeError):
    """A flag or environment variable has an invalid value."""


class DeclarationError(AlmondgladeError):
    """A declared document is invalid.

    Parameters
    ----------
    problems : list of str
        Every problem found, each with its path in the document.
    """

    def __init__(self, problems):
        super().__init__("; ".join(problems))
        self.problems = problems


class PlatformError(AlmondgladeError):
    """The platform's service could not be reached or its response is unusable."""


class PeerError(AlmondgladeError):
    """A peer could not be reached or violated the protocol."""


class TargetError(AlmondgladeError):
    """A target failed to answer a dispatched request."""


class KeyConflictError(AlmondgladeError):
    """An idempotency key cannot be used for this request."""
