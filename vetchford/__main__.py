"""`python -m vetchford`."""

import sys

if "serve" in sys.argv[1:] and sys.argv[1] != "fleet":
    # Before all else is loaded: a SIGHUP in the first tenths of a second would end the program.
    from vetchford.server.signals import exit_on_termination

    exit_on_termination()

from vetchford.cli import main

sys.exit(main())
