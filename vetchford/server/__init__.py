"""One server: client connections, admission, worker pool and records clients, configuration and shutdown."""
