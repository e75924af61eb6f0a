"""Codecs of the protocols that a server speaks: bytes to values and back, without sockets.

One module for each protocol, and the receive buffer that they parse in place. The words and forms are those
of the operators' protocol page; only these modules know them.
"""
