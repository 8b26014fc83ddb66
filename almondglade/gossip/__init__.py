"""Gossip between instances over UDP: membership, running and waiting requests."""
