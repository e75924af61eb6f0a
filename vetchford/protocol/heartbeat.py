"""Codec of the membership service's heartbeats: one datagram of three words, as on the protocol page."""


def encode_report(name: str, ready: bool) -> bytes:
    """Return the datagram that says whether the server of this name is ready for requests."""
    return b"HB %b %b" % (name.encode(), b"UP" if ready else b"OUT")
