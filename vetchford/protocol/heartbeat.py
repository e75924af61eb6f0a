"""The membership service's reports: one datagram of three words."""


def report(name: str, fit: bool) -> bytes:
    return b"HB %b %b" % (name.encode(), b"UP" if fit else b"OUT")
