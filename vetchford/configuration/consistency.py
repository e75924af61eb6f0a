"""Checks of names that several settings must agree on."""

from collections.abc import Callable, Iterable, Sequence

from vetchford.configuration.errors import Problem, SettingsError, SourceLocation
from vetchford.configuration.records import AgentSettings, PoolSettings, ServerFleetSettings, Settings

Locate = Callable[[str], SourceLocation]  # returns where the key with a path is written


def check(settings: Settings, locate: Locate, request_classes: Sequence[str] | None) -> None:
    """Check the names in `settings`; `request_classes` are those of the server, None if unknown.

    Raises:
        SettingsError: Names don't agree; it has the problems of the first section that has any.
    """
    if settings.agent is not None:
        _check_agent(settings.agent, locate)
    if settings.together is not None:
        _check_server_fleet(settings.together, locate)
    if not isinstance(settings.pools, str):
        _check_pools(settings.pools, locate, request_classes)


def _check_agent(agent: AgentSettings, locate: Locate) -> None:
    peers = agent.peers
    if peers is not None and peers.name not in peers.agents:
        path = "agent.peers.name"
        allowed = ", ".join(sorted(peers.agents))
        message = f"found '{peers.name}', which is not a key of 'agents'; allowed: {allowed}"
        raise SettingsError([Problem(locate(path), path, message)])


def _check_server_fleet(fleet: ServerFleetSettings, locate: Locate) -> None:
    _check_servers([fleet.name], "together.name", fleet, locate)
    _check_servers(fleet.keepers, "together.keepers", fleet, locate)


def _check_servers(names: Sequence[str], path: str, fleet: ServerFleetSettings, locate: Locate) -> None:
    """Check that each name is a server of the fleet and occurs once."""
    for name in names:
        if name in fleet.servers and names.count(name) == 1:
            continue
        reason = "which is repeated" if name in fleet.servers else "which is not a key of 'servers'"
        allowed = ", ".join(sorted(fleet.servers))
        message = f"found '{name}', {reason}; allowed: {allowed}, each once"
        raise SettingsError([Problem(locate(path), path, message)])


def _check_pools(
    pools: dict[str, PoolSettings], locate: Locate, request_classes: Sequence[str] | None
) -> None:
    problems = list(_pool_problems(pools, locate, request_classes))
    if problems:
        raise SettingsError(problems)


def _pool_problems(
    pools: dict[str, PoolSettings], locate: Locate, request_classes: Sequence[str] | None
) -> Iterable[Problem]:
    """Yield a problem for each request class that is in two pools or that the server does not have."""
    owners: dict[str, str] = {}
    for pool_name, pool in pools.items():
        path = f"pools.{pool_name}.stages"
        for request_class in pool.stages:
            if request_class in owners:
                owner = owners[request_class]
                message = (
                    f"found '{request_class}', which is also in pool '{owner}' "
                    f"(at {locate(f'pools.{owner}.stages')}); allowed: each request class in one pool only"
                )
                yield Problem(locate(path), path, message)
            elif request_classes is not None and request_class not in request_classes:
                allowed = ", ".join(request_classes)
                message = (
                    f"found '{request_class}', which is not a request class of this server; "
                    f"allowed: {allowed}"
                )
                yield Problem(locate(path), path, message)
            owners.setdefault(request_class, pool_name)
