"""Signal handling: signals are blocked before any thread starts, and received by waiting for them.

This module is imported before all others, so it imports only what loads fast.
"""

import os
import signal
from collections.abc import Callable

TERMINATION_SIGNALS = {signal.SIGTERM, signal.SIGINT}
SIGNALS = {*TERMINATION_SIGNALS, signal.SIGHUP}


def exit_on_termination() -> None:
    """Make a termination signal exit the process at once, until `block_signals` is called; block SIGHUP.

    While no request is open, the process has nothing to wait for. If SIGTERM were blocked, it would wait
    until the configuration is read, and reading a file that never arrives would end only with a kill.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    for number in sorted(TERMINATION_SIGNALS):
        signal.signal(number, lambda *arguments: os._exit(0))


def block_signals() -> None:
    """Block all signals of the server, before any thread starts.

    A thread that does not block them would receive them, and the process would end at once.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


def wait_for_termination(on_reload: Callable[[], None]) -> int:
    """Wait for a termination signal and return its number; call `on_reload` on each SIGHUP until then."""
    while (number := signal.sigwait(SIGNALS)) == signal.SIGHUP:
        on_reload()
    return int(number)


def handle_reloads(on_reload: Callable[[], None]) -> None:
    """Call `on_reload` on each SIGHUP during a shutdown, and ignore further termination signals."""
    while True:
        wait_for_termination(on_reload)
