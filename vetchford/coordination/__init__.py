"""A server's membership in its fleet: failure detection, load reports and leases over datagrams.

Modules: `settings`, `datagrams` (codec), `load_sampler` (the metrics that the server reports), `incarnation`,
`admission_signals`, `fleet_member` (the actor). A server without a configured fleet imports none of them.
"""
