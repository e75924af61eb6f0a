"""Codec of the membership service's heartbeats: one datagram of three words."""


def encode_report(name: str, ready: bool) -> bytes:
    """Return the datagram that reports whether the server `name` is ready for requests."""
    return b"HB %b %b" % (name.encode(), b"UP" if ready else b"OUT")
