"""`python -m vetchford`."""

import sys

from vetchford.cli import main

sys.exit(main())
