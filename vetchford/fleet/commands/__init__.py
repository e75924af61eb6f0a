"""Sub-commands of `vetchford fleet`."""
