"""What is spoken on the wire: a file for each protocol, free of sockets, and the actor of each peer."""
