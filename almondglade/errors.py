"""The exception tree shared by every layer."""


class AlmondgladeError(Exception):
    """Base of all errors raised by almondglade."""


class SettingsError(AlmondgladeError):
    """A flag or environment variable holds an unusable value."""


class DeclarationError(AlmondgladeError):
    """A declared document is not valid.

    Parameters
    ----------
    problems : list of str
        Every problem found, each with its place in the document.
    """

    def __init__(self, problems):
        super().__init__("; ".join(problems))
        self.problems = problems


class PlatformError(AlmondgladeError):
    """The platform's service did not give a usable answer."""


class PeerError(AlmondgladeError):
    """A peer could not be reached or broke the protocol."""


class TargetError(AlmondgladeError):
    """A target failed to answer a dispatched request."""


class KeyConflictError(AlmondgladeError):
    """An idempotency key cannot be used for this request."""
