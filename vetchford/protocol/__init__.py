"""Codecs of the protocols that a server speaks: bytes to values and back, without sockets.

One module for each protocol, and the receive buffer that they parse in place. Message formats and field names
are defined by the operators' protocol specification and appear in these modules only.
"""
