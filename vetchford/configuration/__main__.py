"""Reads settings files for another process.

Arguments are the file names, standard input is a JSON array of the request classes, or null. Prints the
settings as JSON, or a line for each problem on standard error with exit status 2.
"""

import json
import sys

import msgspec

from vetchford.configuration.errors import SettingsError
from vetchford.configuration.isolated_reader import EXIT_WRONG_SETTINGS
from vetchford.configuration.reader import read


def main() -> int:
    """Read the settings and return the exit status."""
    try:
        settings = read(sys.argv[1:], json.load(sys.stdin))
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_WRONG_SETTINGS
    print(msgspec.json.encode(settings).decode())
    return 0


sys.exit(main())
