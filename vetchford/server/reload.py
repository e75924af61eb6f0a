"""Reloading the configuration of a running server: which keys take effect, and on which thread."""

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
    DeclaredSettings,
    ServerConfiguration,
)

log = structlog.get_logger()

FIXED_KEYS = (NAME_KEY, LISTEN_KEY, LIMITS_KEY, SETTINGS_KEY)
"""Keys whose changes take effect at the next start only."""
DECLARED_SETTINGS = "declared"
"""Name of the settings files in the log field `not_changed`."""


class ConfigurationReloader:
    """Reloads the configuration on request, one reload at a time, on a thread that ends with the last reload.

    Reloads don't run on the thread that waits for signals: if a file is slow to read, a SIGTERM would be
    handled late and the shutdown would lose that time.
    """

    def __init__(
        self,
        configuration: ServerConfiguration,
        reload: Callable[[ServerConfiguration], ServerConfiguration],
        start_thread: Callable[[Callable[[], None]], None],
    ) -> None:
        """Create a reloader; `reload` receives the current configuration and returns the one to use next."""
        self.configuration = configuration
        self.reload = reload
        self.start_thread = start_thread
        self.lock = threading.Lock()  # guards `requested` and `reloading`
        self.requested = False  # a reload was requested and has not started
        self.reloading = False  # the reload thread runs

    def request(self) -> None:
        """Request a reload; may be called from any thread, and never blocks for long."""
        with self.lock:
            self.requested = True
            was_idle = not self.reloading
            self.reloading = True
        if was_idle:
            self.start_thread(self.run)
        else:
            log.warning("configuration_reload_queued")

    def run(self) -> None:
        """Reload until no request is left; runs on the reload thread."""
        while True:
            with self.lock:
                self.reloading = self.requested
                self.requested = False
                if not self.reloading:
                    return
            try:
                self.configuration = self.reload(self.configuration)
            except Exception as error:  # otherwise `reloading` would stay set, and block all later reloads
                log.error("configuration_refused", problem=f"{type(error).__name__}: {error}")


def reload_configuration(
    current: ServerConfiguration,
    read: Callable[[], ServerConfiguration],
    change_address: Mapping[str, Callable[[Address | None], None]],
    change_declared_settings: Callable[[DeclaredSettings], None],
) -> ServerConfiguration:
    """Apply the configuration that `read` returns; return the configuration in effect afterwards.

    `change_address` has a function for each key of `service_addresses`, called with a changed address.
    `change_declared_settings` is called with the contents of the settings files. An invalid configuration
    changes nothing.
    """
    try:
        new = read()
    except Exception as error:  # the server continues with the current configuration
        log.error("configuration_refused", problem=str(error))
        return current
    new_addresses = service_addresses(new)
    current_addresses = service_addresses(current)
    changed_keys = [key for key, address in new_addresses.items() if address != current_addresses[key]]
    for key in changed_keys:
        change_address[key](new_addresses[key])
    change_declared_settings(new.declared)
    log.info(
        "configuration_renewed",
        moved=",".join(changed_keys),
        # Despite its name, this field lists keys that were changed; their changes wait for the next start.
        not_changed=",".join(_keys_pending_restart(new, current)),
    )
    return replace(
        current,
        stop_ms=new.stop_ms,
        worker_pool=new.worker_pool,
        records=new.records,
        registry=new.registry,
    )


def service_addresses(configuration: ServerConfiguration) -> dict[str, Address | None]:
    """Return, by configuration key, the addresses that can be changed while a server runs."""
    return {
        WORKER_POOL_KEY: configuration.worker_pool,
        RECORDS_KEY: configuration.records,
        REGISTRY_KEY: configuration.registry,
    }


def _keys_pending_restart(new: ServerConfiguration, current: ServerConfiguration) -> list[str]:
    """Return the keys that have changed but take effect at the next start only."""
    changed_keys = [key for key in FIXED_KEYS if new.document.get(key) != current.document.get(key)]
    if new.declared != current.declared:
        changed_keys.append(DECLARED_SETTINGS)
    return changed_keys
