"""Codecs of the messages in which a coordinator reports its pool to its entries."""

from .. import messages as m
from . import link_pb2 as pb
from .codec import MICROSECONDS_PER_SECOND, decode, encode


@encode.register
def _(message: m.CarriedSuspect):
    return pb.CarriedSuspect(
        fingerprint=message.fingerprint,
        targets=message.targets,
        age=max(0, round(message.age * MICROSECONDS_PER_SECOND)),
    )


@decode.register
def _(wire: pb.CarriedSuspect):
    return m.CarriedSuspect(
        wire.fingerprint, tuple(wire.targets), wire.age / MICROSECONDS_PER_SECOND
    )


@encode.register
def _(message: m.Rejoin):
    return pb.Rejoin(pool=message.pool)


@decode.register
def _(wire: pb.Rejoin):
    return m.Rejoin(wire.pool)


@encode.register
def _(message: m.PoolState):
    return pb.PoolState(
        pool=message.pool,
        targets=[encode(state) for state in message.targets],
        suspects=[encode(suspect) for suspect in message.suspects],
    )


@decode.register
def _(wire: pb.PoolState):
    return m.PoolState(
        wire.pool,
        tuple(decode(state) for state in wire.targets),
        tuple(decode(suspect) for suspect in wire.suspects),
    )
