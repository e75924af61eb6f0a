"""Entry point of `python -m vetchford`."""

import sys

if "serve" in sys.argv[1:] and sys.argv[1] != "fleet":
    # Before all other imports, which take tenths of a second: a SIGHUP in that time would end the process.
    from vetchford.server.signals import exit_on_termination

    exit_on_termination()

from vetchford.cli import main

sys.exit(main())
