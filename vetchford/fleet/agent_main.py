"""The process of an agent, from the validated settings to the exit status."""

import contextlib
import signal
import threading
from typing import Any

import structlog

from vetchford.fleet.agent import Agent
from vetchford.fleet.agent_settings import AgentSettings
from vetchford.fleet.history_store import StoreError
from vetchford.fleet.tool_server import ToolServer
from vetchford.runtime.metrics import Metrics

log = structlog.get_logger()

TERMINATION_POLL_INTERVAL_S = 0.2  # Python runs signal handlers on the main thread, between waits
THREAD_STACK_BYTES = 512 * 1024  # small, as each peer takes a few threads; store calls nest deepest


def serve(record: dict[str, Any]) -> int:
    """Run an agent until SIGTERM or SIGINT and return the exit status; instances keep running.

    `record`: the validated settings. Must be called on the main thread.
    """
    settings = AgentSettings.from_record(record)
    threading.stack_size(THREAD_STACK_BYTES)
    terminated = handle_termination()
    metrics = Metrics()
    try:
        agent = Agent(settings, metrics)
        tool_server = ToolServer(settings.socket, agent.submit_request, metrics)
    except (StoreError, OSError) as problem:
        log.error("agent_start_failed", problem=str(problem))
        return 1
    with contextlib.closing(tool_server):
        agent.start()
        tool_server.start()
        log_started(agent)
        while not terminated.wait(TERMINATION_POLL_INTERVAL_S):
            pass
    log.info("agent_stopped", left_running=len(agent.processes))
    return 0


def handle_termination() -> threading.Event:
    """Return an event that SIGTERM and SIGINT set.

    The signals are handled, not blocked: instances would inherit blocked signals and never drain.
    """
    terminated = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: terminated.set())
    return terminated


def log_started(agent: Agent) -> None:
    """Log that an agent has started, and the fleet that it has joined."""
    settings = agent.settings
    log.info(
        "agent_started",
        socket=settings.socket,
        instances=len(settings.instances),
        adopted=len(agent.processes),
    )
    if settings.peers and agent.coordinator is not None:
        coordinator = agent.coordinator
        log.info(
            "agent_joined_fleet",
            fleet=settings.peers.fleet,
            name=coordinator.name,
            life=coordinator.incarnation,
        )
