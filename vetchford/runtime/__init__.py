"""Infrastructure of all programs: actors, threads, timers, clocks, sockets, metrics and logging."""
