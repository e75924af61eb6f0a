"""The signals of a server: blocked before any thread starts, and taken where it waits for them.

Loaded before all else, so it loads nothing itself that takes time.
"""

import os
import signal
from collections.abc import Callable

TERMINATION_SIGNALS = {signal.SIGTERM, signal.SIGINT}
SIGNALS = {*TERMINATION_SIGNALS, signal.SIGHUP}


def exit_on_termination() -> None:
    """Until `block_signals` let a termination signal end the program at once, and block SIGHUP.

    While nothing is open there is nothing to wait for. Blocked like the others a SIGTERM would wait for as
    long as the configuration takes to be read, and a file that never comes would have the start killed.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    for number in sorted(TERMINATION_SIGNALS):
        signal.signal(number, lambda *arguments: os._exit(0))


def block_signals() -> None:
    """Block all; before any thread starts, as one that doesn't block them would end the program."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


def wait_for_termination(on_reload: Callable[[], None]) -> int:
    """Return the termination signal once it comes; call `on_reload` on each SIGHUP until then."""
    while (number := signal.sigwait(SIGNALS)) == signal.SIGHUP:
        on_reload()
    return int(number)


def handle_reloads(on_reload: Callable[[], None]) -> None:
    """Call `on_reload` on each SIGHUP for good; for a shutdown, which a further signal does not change."""
    while True:
        wait_for_termination(on_reload)
