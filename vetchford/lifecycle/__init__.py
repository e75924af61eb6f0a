"""Start and stop of the server, and what its parts run on: mailboxes, timers, counts."""
