"""vetchford: admission and scheduling for a server behind other people's balancers.

Usage:
  vetchford serve [--config FILE]
  vetchford version

Options:
  --config FILE  the configuration file; else ROUTER_CONFIG names it
"""

import sys

from docopt import docopt

import vetchford
from vetchford.lifecycle import configuration, server
from vetchford.startup import MalformedError


def main(argv: list[str] | None = None) -> int:
    asked = docopt(__doc__, argv)
    if asked["version"]:
        print(vetchford.__version__)
        return 0
    try:
        told = configuration.load(path=asked["--config"])
    except MalformedError as problem:
        print(f"vetchford: {problem}", file=sys.stderr)
        return 2
    return server.serve(told)
