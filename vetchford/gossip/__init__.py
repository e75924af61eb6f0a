"""What many servers see, told to all: rows by origin with age, bounded messages, aggregates no liar moves
far.
"""
