"""Start and stop of the server: configuration, signals, end."""
