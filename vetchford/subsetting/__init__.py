"""Who deals with whom, from a view alone: `decide.py`. A server that does not use it imports none of it."""
