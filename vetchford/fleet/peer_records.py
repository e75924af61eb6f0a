"""Codec of the records that an agent's store keeps of other agents."""

import msgspec

STORED_PEER = "peer"  # kind of these records in the store


class StoredPeer(msgspec.Struct, frozen=True):
    """The newest known incarnation of another agent, stored under the agent's name."""

    incarnation: int = msgspec.field(name="life")
    nonce: int
