"""Configurations that are read anew while a server runs: which keys take effect, and on which thread."""

import threading
from collections.abc import Callable, Mapping
from typing import Any

import structlog

from vetchford.server import platform_config
from vetchford.server.platform_config import Address, Configuration

log = structlog.get_logger()

RELOADABLE_ADDRESSES = ("pool", "records", "members")  # keys of peers that a running server can go over to
FIXED = ("name", "listen", "limits", "settings", "declared")  # keys that wait for the next start


class ConfigurationReloader:
    """Reloads the configuration, one time after the other, on a thread that lives as long as that takes.

    A file that is slow to read must not hold up whoever waits for signals: a SIGTERM behind it would lose
    that time of its shutdown.
    """

    def __init__(
        self,
        configuration: Configuration,
        reload: Callable[[Configuration], Configuration],
        start_thread: Callable[[Callable[[], None]], None],
    ) -> None:
        """Let `configuration` hold until `reload` returns another for it."""
        self.configuration, self.reload, self.start_thread = configuration, reload, start_thread
        self.lock, self.requested, self.reloading = threading.Lock(), False, False

    def request(self) -> None:
        """Reload soon; may be called from any thread, and never blocks for long."""
        with self.lock:
            self.requested = True
            was_idle, self.reloading = not self.reloading, True
        if was_idle:
            self.start_thread(self.run)
        else:
            log.warning("configuration_reload_queued")

    def run(self) -> None:
        """Reload until no request is left; the body of the thread."""
        while True:
            with self.lock:
                self.reloading = self.requested
                self.requested = False
                if not self.reloading:
                    return
            try:
                self.configuration = self.reload(self.configuration)
            except Exception as problem:  # else every later request would wait for this one for good
                log.error("configuration_refused", problem=f"{type(problem).__name__}: {problem}")


def reload_configuration(
    current: Configuration,
    read: Callable[[], Configuration],
    move_peer: Mapping[str, Callable[[Address | None], None]],
    change_own_settings: Callable[[dict[str, Any]], None],
) -> Configuration:
    """Apply the configuration as `read` returns it now; return what holds from now on.

    `move_peer` has a function for each of RELOADABLE_ADDRESSES, to call with a changed address.
    `change_own_settings` is called with what our own files declare. A wrong configuration changes nothing.
    """
    try:
        fresh = read()
        moved = [key for key in RELOADABLE_ADDRESSES if fresh.get(key) != current.get(key)]
        addresses = {key: _peer_address(fresh, key) for key in moved}
    except Exception as problem:  # whatever is wrong with the file, the server goes on
        log.error("configuration_refused", problem=str(problem))
        return current
    for key in moved:
        move_peer[key](addresses[key])
    change_own_settings(fresh.get("declared") or {})
    not_changed = [key for key in FIXED if fresh.get(key) != current.get(key)]
    log.info("configuration_renewed", moved=",".join(moved), not_changed=",".join(not_changed))
    reloadable = {key: fresh.get(key) for key in RELOADABLE_ADDRESSES}
    return {**current, "stop_ms": fresh["stop_ms"], **reloadable}


def _peer_address(configuration: Configuration, key: str) -> Address | None:
    if key == "records":
        return platform_config.records_address(configuration)
    return platform_config.address(configuration, key)
