"""What an agent's store keeps of other agents. A codec."""

import msgspec

STORED_PEER = "peer"  # the kind of the stored incarnations of others


class StoredPeer(msgspec.Struct, frozen=True):
    """The newest incarnation of another agent that was heard of, as stored under its name."""

    incarnation: int = msgspec.field(name="life")
    nonce: int
