"""The signals of a server, held from its first line on and taken where it waits for them.

Loaded before all else, so it loads nothing itself that takes time.
"""

import os
import signal
from collections.abc import Callable

TO_LEAVE = {signal.SIGTERM, signal.SIGINT}
SIGNALS = {*TO_LEAVE, signal.SIGHUP}


def leave_until_held() -> None:
    """While nothing has begun there is nothing to drain: told to leave, the program ends at once.

    Held like the others a SIGTERM would wait for as long as the configuration takes to be read, and a file
    that never comes would have the start killed.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    for number in sorted(TO_LEAVE):
        signal.signal(number, lambda *given: os._exit(0))


def hold_signals() -> None:
    """Before any thread begins: through one that doesn't hold them a second signal would end the program."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


def until_told_to_leave(renew: Callable[[], None]) -> int:
    """Waits; `renew` on each SIGHUP. Returns the signal that asks to leave."""
    while (caught := signal.sigwait(SIGNALS)) == signal.SIGHUP:
        renew()
    return int(caught)


def heed_for_good(renew: Callable[[], None]) -> None:
    """During a drain addresses may move as well; a further wish to leave changes nothing."""
    while True:
        until_told_to_leave(renew)
