"""Send a configuration document over a link as a compressed difference, in parts.

The parts are small, so that heartbeats on the same link can be sent between them.
"""

import zlib

import numpy as np
import xxhash

from ..errors import PeerError
from ..messages import ConfigurationPart, ConfigurationUpdate

PART_BYTES = 16 * 1024
MAX_DOCUMENT_BYTES = 4 << 20
COMPRESSION_LEVEL = 6


def make_parts(version, document, base_version=0, base=b""):
    """Return the messages that send a document to a peer that has another version.

    Parameters
    ----------
    version, base_version : int
        Versions of the document and of the one that the peer has; 0 for none.
    document, base : bytes
        Contents of both.

    Returns
    -------
    list of ConfigurationPart
        At least one part.
    """
    prefix = _common_prefix_length(document, base)
    suffix = _common_prefix_length(document[prefix:][::-1], base[prefix:][::-1])
    middle = document[prefix : len(document) - suffix]
    data = zlib.compress(middle, COMPRESSION_LEVEL)
    checksum = xxhash.xxh64_intdigest(document)
    return [
        ConfigurationPart(
            version,
            base_version,
            prefix,
            suffix,
            offset,
            len(data),
            checksum,
            data[offset : offset + PART_BYTES],
        )
        for offset in range(0, len(data), PART_BYTES)
    ]


def _common_prefix_length(one, other):
    """Return the number of bytes in the longest common prefix of two documents."""
    size = min(len(one), len(other))
    differ = np.frombuffer(one, np.uint8, size) != np.frombuffer(other, np.uint8, size)
    return int(differ.argmax()) if differ.any() else size


class Assembler:
    """Assembles the parts of one document, which must arrive in their order."""

    def __init__(self):
        self._first: ConfigurationPart | None = None
        self._data = bytearray()

    def add(self, part, base):
        """Add a part.

        Parameters
        ----------
        part : ConfigurationPart
            The next part, or the first part of another document.
        base : bytes or None
            The older document that the difference applies to; None if this instance
            no longer has it.

        Returns
        -------
        ConfigurationUpdate or None
            The document once it is complete, otherwise None.

        Raises
        ------
        PeerError
            If the parts are out of order, too large, or do not form the document.
        """
        if part.offset == 0:
            self._first, self._data = part, bytearray()
        if (
            self._first is None
            or part.version != self._first.version
            or part.offset != len(self._data)
            or part.total > MAX_DOCUMENT_BYTES
            or len(part.data) > part.total - part.offset
        ):
            raise PeerError("a peer sent an invalid or out-of-order part of a document")
        self._data += part.data
        if len(self._data) < part.total:
            return None
        first, self._first = self._first, None
        return None if base is None else _assemble(first, bytes(self._data), base)


def _assemble(first, data, base):
    if first.prefix + first.suffix > len(base):
        raise PeerError("a peer sent a difference that does not fit the base document")
    inflater = zlib.decompressobj()
    try:
        middle = inflater.decompress(data, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise PeerError(
            f"a peer sent a document that cannot be decompressed: {error}"
        ) from error
    document = base[: first.prefix] + middle + base[len(base) - first.suffix :]
    if not inflater.eof or xxhash.xxh64_intdigest(document) != first.checksum:
        raise PeerError(
            "a peer sent an incomplete document or one with a wrong checksum"
        )
    return ConfigurationUpdate(first.version, document)
