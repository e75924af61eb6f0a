"""A server's part in its fleet: carries membership, load reports and leases over datagrams.

Modules: `settings`, `datagrams` (codec), `load_sampler` (what the server reports of itself), `incarnation`,
`fleet_member` (the actor). A server that is not told of a fleet imports none of them.
"""
