"""`python -m vetchford.bench_adapter`: one batch of events in, one reply out, until the input ends."""

import sys

from vetchford.bench_adapter.simulator_link import SimulatorLink
from vetchford.errors import MalformedInputError


def main() -> int:
    """Answer the batches on standard input; 1 where one is malformed, which ends it."""
    link = SimulatorLink()
    read = sys.stdin.buffer
    write = sys.stdout.buffer
    for number, line in enumerate(read, 1):
        try:
            reply = link.exchange(line)
        except MalformedInputError as problem:
            print(f"benchlink: line {number}: {problem}", file=sys.stderr)
            return 1
        write.write(reply)
        write.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
