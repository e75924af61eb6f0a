"""What two of our programs talk over: `frames.py` the form, `decide.py` who is heard, `talk.py` the sockets.

A server that has no peers imports none of it.
"""
