"""`python -m vetchford.bench_adapter`: replies to each batch of events until the input ends."""

import sys

from vetchford.bench_adapter.simulator_link import SimulatorLink
from vetchford.errors import MalformedInputError


def main() -> int:
    """Reply to the batches on standard input; stop and return 1 at a malformed batch."""
    link = SimulatorLink()
    batches = sys.stdin.buffer
    replies = sys.stdout.buffer
    for number, line in enumerate(batches, 1):
        try:
            reply = link.exchange(line)
        except MalformedInputError as problem:
            print(f"benchlink: line {number}: {problem}", file=sys.stderr)
            return 1
        replies.write(reply)
        replies.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
