"""Sessions between processes of this project, over TCP streams and UDP datagrams.

Modules, from the lowest layer up: `framing` (frames and envelopes), `handshake` (the first message of a
stream), `outbox`, `replay_window`, `peers` (the state of each peer), `timing`, `session_actions`,
`session_manager` (decides which peers are connected, accepted and closed), `stream_connection` and
`connections` (sockets and threads that carry out these decisions). A server without peers imports none of
them.
"""
