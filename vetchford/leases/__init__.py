"""At most k of n do a thing at once: permits by lease, with slots and fencing numbers."""
