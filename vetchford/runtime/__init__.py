"""What every program here runs on: actors, threads, timers, clocks, sockets, metrics and the log."""
