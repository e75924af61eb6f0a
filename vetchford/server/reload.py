"""Configurations that are read anew while a server runs: which keys take effect, and on which thread."""

import threading
from collections.abc import Callable, Mapping
from dataclasses import replace

import structlog

from vetchford.protocol.platform_configuration import (
    LIMITS_KEY,
    LISTEN_KEY,
    NAME_KEY,
    RECORDS_KEY,
    REGISTRY_KEY,
    SETTINGS_KEY,
    WORKER_POOL_KEY,
    Address,
    OwnSettings,
    ServerConfiguration,
)

log = structlog.get_logger()

FIXED_KEYS = (NAME_KEY, LISTEN_KEY, LIMITS_KEY, SETTINGS_KEY)
"""Keys that wait for the next start."""
OWN_SETTINGS = "declared"
"""What log lines call our own settings, which wait for the next start too."""


class ConfigurationReloader:
    """Reloads the configuration, one time after the other, on a thread that lives as long as that takes.

    A file that is slow to read must not hold up whoever waits for signals: a SIGTERM behind it would lose
    that time of its shutdown.
    """

    def __init__(
        self,
        configuration: ServerConfiguration,
        reload: Callable[[ServerConfiguration], ServerConfiguration],
        start_thread: Callable[[Callable[[], None]], None],
    ) -> None:
        """Let `configuration` hold until `reload` returns another for it."""
        self.configuration = configuration
        self.reload = reload
        self.start_thread = start_thread
        self.lock = threading.Lock()  # for the two below
        self.requested = False  # a reload is to be started
        self.reloading = False  # the thread runs

    def request(self) -> None:
        """Reload soon; may be called from any thread, and never blocks for long."""
        with self.lock:
            self.requested = True
            was_idle = not self.reloading
            self.reloading = True
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
    current: ServerConfiguration,
    read: Callable[[], ServerConfiguration],
    move_peer: Mapping[str, Callable[[Address | None], None]],
    change_own_settings: Callable[[OwnSettings], None],
) -> ServerConfiguration:
    """Apply the configuration as `read` returns it now; return what holds from now on.

    `move_peer` has a function for each key of `peer_addresses`, to call with a changed address.
    `change_own_settings` is called with what our own files declare. A wrong configuration changes nothing.
    """
    try:
        fresh = read()
    except Exception as problem:  # whatever is wrong with the file, the server goes on
        log.error("configuration_refused", problem=str(problem))
        return current
    addresses = peer_addresses(fresh)
    in_use = peer_addresses(current)
    moved = [key for key, address in addresses.items() if address != in_use[key]]
    for key in moved:
        move_peer[key](addresses[key])
    change_own_settings(fresh.own)
    log.info(
        "configuration_renewed", moved=",".join(moved), not_changed=",".join(_waiting_keys(fresh, current))
    )
    return replace(
        current,
        stop_ms=fresh.stop_ms,
        worker_pool=fresh.worker_pool,
        records=fresh.records,
        registry=fresh.registry,
    )


def peer_addresses(configuration: ServerConfiguration) -> dict[str, Address | None]:
    """Return, by its key, the address of each peer that a running server can go over to."""
    return {
        WORKER_POOL_KEY: configuration.worker_pool,
        RECORDS_KEY: configuration.records,
        REGISTRY_KEY: configuration.registry,
    }


def _waiting_keys(fresh: ServerConfiguration, current: ServerConfiguration) -> list[str]:
    """Return the keys that have changed and wait for the next start."""
    waiting = [key for key in FIXED_KEYS if fresh.document.get(key) != current.document.get(key)]
    if fresh.own != current.own:
        waiting.append(OWN_SETTINGS)
    return waiting
