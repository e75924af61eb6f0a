"""What every program here runs on: mailboxes and the threads that empty them, timers, counts, logs."""
