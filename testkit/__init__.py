"""Stand-ins for all that a server meets, by the protocol page; tests and benchmarks use the same."""
