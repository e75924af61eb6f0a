"""What a server shares with the other servers of its fleet: carries `signals` and `turns` over `peers`."""
