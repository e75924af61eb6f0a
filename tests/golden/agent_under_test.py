"""An agent process with fake instances, accessed through its settings file and its socket only."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

from golden import harness

VOLATILE = frozenset(("pid", "for_ms", "memory_kb", "at"))
INSTANCE_NAME, INSTANCE_TOKEN, INSTANCE_VERSION = (
    "VETCHFORD_INSTANCE",
    "VETCHFORD_TOKEN",
    "VETCHFORD_VERSION",
)  # environment variables by which an agent finds the processes of its instances after a restart


def start_process(command: list[str], **options: Any) -> subprocess.Popen[str]:
    return subprocess.Popen(command, text=True, **options)


class AgentUnderTest:
    """An agent with the instances n0, n1, ... of the given behaviours (see `testkit.fakes.instance`)."""

    def __init__(self, folder: Path, behaviours: list[str], extra_settings: str = "") -> None:
        self.folder, self.socket, self.process = folder, str(folder / "agent.sock"), None
        self.ports = [harness.free_port() for _ in behaviours]
        instances = ", ".join(
            f'n{n}: {{command: {json.dumps(self.command(port, behaviour))}, listen: "127.0.0.1:{port}", '
            f'stop_ms: 1s, ready_ms: 8s, labels: ["l{n}"]}}'
            for n, (port, behaviour) in enumerate(zip(self.ports, behaviours, strict=True))
        )
        python, script = json.dumps(sys.executable), json.dumps(str(harness.FAKE_INSTANCE))
        self.settings = folder / "fleet.vet"
        self.settings.write_text(f"""version: 1
agent: {{
    socket: {json.dumps(self.socket)}
    store: {json.dumps(str(folder / "store"))}
    logs: {json.dumps(str(folder / "logs"))}
    instances: {{{instances}}}
    versions: {{
        v2: [{python}, "-S", {script}, "{{listen}}", "good"]
        bad: [{python}, "-S", {script}, "{{listen}}", "crash"]
    }}
    {extra_settings}
}}
""")
        # The folder, the ports of the instances and the identity of a store differ between runs. A TypeError
        # contains the name of an internal class, which is not part of the external behaviour.
        self.rules = harness.Normaliser(
            {str(folder): "DIR", **{str(port): f"<port {n}>" for n, port in enumerate(self.ports)}},
            [(r"\b[0-9a-f]{32}\b", "<identity>"), (r"\b\w+\.__init__\(\)", "<class>.__init__()")],
        )

    @staticmethod
    def command(port: int, behaviour: str) -> list[str]:
        return [sys.executable, "-S", str(harness.FAKE_INSTANCE), f"127.0.0.1:{port}", behaviour]

    def start(self) -> "AgentUnderTest":
        self.process = start_process(
            harness.command("agent", "--with", str(self.settings)),
            cwd=harness.ROOT,
            env=harness.environment(),
            stderr=subprocess.PIPE,
            stdout=subprocess.DEVNULL,
        )
        self.log = harness.LineCollector(self.process.stderr)
        harness.wait_until(self._listens, "the agent listens on its socket")
        return self

    def _listens(self) -> bool:
        assert self.process is not None and self.process.poll() is None, self.log.lines
        with socket.socket(socket.AF_UNIX) as sock:
            return sock.connect_ex(self.socket) == 0

    def ask(self, request: Any) -> Any:
        """Send one request on the agent's socket and return the reply unchanged."""
        line = request if isinstance(request, bytes) else json.dumps(request).encode() + b"\n"
        with socket.socket(socket.AF_UNIX) as sock:
            sock.settimeout(harness.TIMEOUT_S)
            sock.connect(self.socket)
            with sock.makefile("rwb") as lines:
                lines.write(line)
                lines.flush()
                return json.loads(lines.readline())

    def normalise(self, reply: Any) -> Any:
        """Return a reply without the values that differ between runs; keys keep their order."""
        return self.rules.tree(reply, VOLATILE)

    def wait_for(self, rollout_id: str, state: str) -> dict[str, Any]:
        """Wait until a rollout is in a state and return its record."""

        def is_in_state() -> bool:
            return self.ask({"ask": "find", "id": rollout_id}).get("state") == state

        harness.wait_until(is_in_state, f"rollout {rollout_id} is {state}")
        return self.ask({"ask": "find", "id": rollout_id})

    def run_command(self, *arguments: str, soak: str = "200") -> dict[str, Any]:
        """Run a command of `vetchford fleet` and return its exit status, output and error lines."""
        result = harness.run("fleet", "--socket", self.socket, "--soak", soak, "--patience", "25", *arguments)
        return {
            "status": result.returncode,
            "out": self.rules.text(result.stdout),
            "err": self.rules.text(result.stderr),
        }

    def instances(self) -> dict[str, dict[str, Any]]:
        return {instance["name"]: instance for instance in self.ask({"ask": "status"})["instances"]}

    def __enter__(self) -> "AgentUnderTest":
        return self.start()

    def __exit__(self, *problem: object) -> None:
        try:
            pids = [instance["pid"] for instance in self.instances().values() if instance["pid"]]
        except OSError:
            pids = []
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        for pid in pids:
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, signal.SIGKILL)
