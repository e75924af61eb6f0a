"""Sessions between processes of this project, over TCP streams and UDP datagrams.

Modules, from the bytes up: `framing` (frames and envelopes), `handshake` (the first message of a stream),
`outbox`, `replay_window`, `peers` (what is known of each peer), `timing`, `session_actions`,
`session_manager` (decides which peers are connected, heard and given up), `stream_connection` and
`connections` (sockets and threads, which carry out what the session manager decides). A server that has no
peers imports none of it.
"""
