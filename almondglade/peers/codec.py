"""Convert messages to and from Protocol Buffers (`link.proto`)."""

import math
from functools import singledispatch

from .. import messages as m
from ..errors import PeerError
from . import link_pb2 as pb

MICROSECONDS_PER_SECOND = 1_000_000
MILLISECONDS_PER_SECOND = 1_000
MAX_WIRE_AGE = (1 << 32) - 1


def encode_batch(messages):
    """Return the `Batch` frame that contains a list of messages."""
    return pb.Batch(envelopes=[_envelope(message) for message in messages])


def decode_batch(frame):
    """Return the messages of a frame, without kinds that this protocol does not know.

    Raises
    ------
    PeerError
        If a message contains an invalid value.
    """
    return [
        _decode_envelope(envelope)
        for envelope in frame.envelopes
        if envelope.WhichOneof("kind") is not None
    ]


def _envelope(message):
    wire = encode(message)
    return pb.Envelope(**{_FIELD_BY_TYPE[type(wire)]: wire})


def _decode_envelope(envelope):
    kind = envelope.WhichOneof("kind")
    try:
        return decode(getattr(envelope, kind))
    except ValueError as error:
        raise PeerError(f"a peer sent an invalid {kind}: {error}") from error


@singledispatch
def encode(message):
    """Return the Protocol Buffers form of one message."""
    raise PeerError(f"no encoder for {type(message).__name__}")


@singledispatch
def decode(wire):
    """Return the message of one Protocol Buffers object."""
    raise PeerError(f"no decoder for {type(wire).__name__}")


def _register_plain(message_type, wire_type):
    """Register the codecs of a pair of types with equal field names and values."""
    names = [field.name for field in wire_type.DESCRIPTOR.fields]

    def to_wire(message):
        return wire_type(**{name: getattr(message, name) for name in names})

    def from_wire(wire):
        return message_type(**{name: getattr(wire, name) for name in names})

    encode.register(message_type, to_wire)
    decode.register(wire_type, from_wire)


for _name in (
    "CarriedSpend",
    "ConfigurationPart",
    "ConfigurationRequest",
    "ConfigurationUpdate",
    "Hello",
    "Leave",
    "TargetState",
    "Withdrawal",
):
    _register_plain(getattr(m, _name), getattr(pb, _name))


def _to_microseconds(seconds):
    return max(0, round(seconds * MICROSECONDS_PER_SECOND))


def _to_milliseconds(seconds):
    return max(0, round(seconds * MILLISECONDS_PER_SECOND))


def _encode_age(seconds):
    return (
        0 if math.isinf(seconds) else min(1 + _to_milliseconds(seconds), MAX_WIRE_AGE)
    )


def _decode_age(age):
    return (age - 1) / MILLISECONDS_PER_SECOND if age else math.inf


@encode.register
def _(message: m.Ping):
    return pb.Ping(
        sent_at=_to_microseconds(message.sent_at),
        echo=_to_microseconds(message.echo),
        configuration_version=message.configuration_version,
        confirmed_age=_encode_age(message.confirmed_age),
        majority_age=_encode_age(message.majority_age),
        leaving=message.leaving,
        interval_ms=_to_milliseconds(message.interval),
    )


@decode.register
def _(wire: pb.Ping):
    return m.Ping(
        wire.sent_at / MICROSECONDS_PER_SECOND,
        wire.echo / MICROSECONDS_PER_SECOND,
        wire.configuration_version,
        _decode_age(wire.confirmed_age),
        _decode_age(wire.majority_age),
        wire.leaving,
        wire.interval_ms / MILLISECONDS_PER_SECOND,
    )


@encode.register
def _(message: m.Demand):
    return pb.Demand(
        request_id=message.request_id,
        pool=message.pool,
        workspace=message.workspace,
        tier=message.tier,
        input_tokens=message.input_tokens,
        output_tokens=message.output_tokens,
        prefix=message.prefix,
        fingerprint=message.fingerprint,
        max_wait_ms=_to_milliseconds(message.max_wait),
        preemptible=message.preemptible,
        avoid=message.avoid,
    )


@decode.register
def _(wire: pb.Demand):
    return m.Demand(
        wire.request_id,
        wire.pool,
        wire.workspace,
        wire.tier,
        wire.input_tokens,
        wire.output_tokens,
        wire.prefix,
        wire.fingerprint,
        wire.max_wait_ms / MILLISECONDS_PER_SECOND,
        wire.preemptible,
        tuple(wire.avoid),
    )


@encode.register
def _(message: m.Grant):
    return pb.Grant(
        request_id=message.request_id,
        pool=message.pool,
        permit_id=message.permit_id,
        term=message.term,
        target=message.target,
        heard_at=_to_microseconds(message.heard_at),
        state=encode(message.state),
    )


@decode.register
def _(wire: pb.Grant):
    return m.Grant(
        wire.request_id,
        wire.pool,
        wire.permit_id,
        wire.term,
        wire.target,
        wire.heard_at / MICROSECONDS_PER_SECOND,
        decode(wire.state),
    )


@encode.register
def _(message: m.Refusal):
    return pb.Refusal(
        request_id=message.request_id,
        reason=message.reason.value,
        retry_after_ms=_to_milliseconds(message.retry_after),
    )


@decode.register
def _(wire: pb.Refusal):
    return m.Refusal(
        wire.request_id,
        m.RefusalReason(wire.reason),
        wire.retry_after_ms / MILLISECONDS_PER_SECOND,
    )


@encode.register
def _(message: m.Preemption):
    return pb.Preemption(
        request_id=message.request_id,
        retry_after_ms=_to_milliseconds(message.retry_after),
    )


@decode.register
def _(wire: pb.Preemption):
    return m.Preemption(wire.request_id, wire.retry_after_ms / MILLISECONDS_PER_SECOND)


@encode.register
def _(message: m.Completion):
    return pb.Completion(
        request_id=message.request_id,
        pool=message.pool,
        result=message.result.value,
        input_tokens=message.input_tokens,
        cached_tokens=message.cached_tokens,
        output_tokens=message.output_tokens,
        first_token=_to_microseconds(message.first_token),
        duration=_to_microseconds(message.duration),
        unframed=message.unframed,
    )


@decode.register
def _(wire: pb.Completion):
    return m.Completion(
        wire.request_id,
        wire.pool,
        m.Result(wire.result),
        wire.input_tokens,
        wire.cached_tokens,
        wire.output_tokens,
        wire.first_token / MICROSECONDS_PER_SECOND,
        wire.duration / MICROSECONDS_PER_SECOND,
        wire.unframed,
    )


@encode.register
def _(message: m.CarriedPermit):
    return pb.CarriedPermit(
        demand=encode(message.demand),
        target=message.target,
        age=_to_microseconds(message.age),
    )


@decode.register
def _(wire: pb.CarriedPermit):
    return m.CarriedPermit(
        decode(wire.demand), wire.target, wire.age / MICROSECONDS_PER_SECOND
    )


@encode.register
def _(message: m.Join):
    return pb.Join(
        pool=message.pool,
        counted_after=_to_microseconds(message.counted_after),
        permits=[encode(permit) for permit in message.permits],
        targets=[encode(state) for state in message.targets],
        spends=[encode(spend) for spend in message.spends],
        suspects=[encode(suspect) for suspect in message.suspects],
    )


@decode.register
def _(wire: pb.Join):
    return m.Join(
        wire.pool,
        wire.counted_after / MICROSECONDS_PER_SECOND,
        tuple(decode(permit) for permit in wire.permits),
        tuple(decode(state) for state in wire.targets),
        tuple(decode(spend) for spend in wire.spends),
        tuple(decode(suspect) for suspect in wire.suspects),
    )


_FIELD_BY_TYPE: dict[type, str] = {
    field.message_type._concrete_class: field.name
    for field in pb.Envelope.DESCRIPTOR.oneofs_by_name["kind"].fields
}
