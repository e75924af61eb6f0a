"""Reads settings for another process: file names on the command line, stages as JSON on standard input.

Prints the record as JSON, or a line for each problem on standard error with exit status 2.
"""

import json
import sys

import msgspec

from vetchford.configuration.errors import DeclaredError
from vetchford.configuration.reader import read


def main() -> int:
    try:
        declared = read(sys.argv[1:], json.load(sys.stdin))
    except DeclaredError as problem:
        print(problem, file=sys.stderr)
        return 2
    print(msgspec.json.encode(declared).decode())
    return 0


sys.exit(main())
