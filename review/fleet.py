"""A fleet of agents and the tool, for the cases of the review: the project's programs as processes."""

import json
import os
import signal
import socket
import subprocess
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PYTHON = ROOT / ".venv/bin/python"


def free_ports(count):
    """Return free loopback ports."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Fleet:
    """Agents with stand-in instances, set up as in `deploy/fleet.vet` or `deploy/three`, and the tool."""

    def __init__(self, folder, record, agents, instances):
        """Write the settings of the agents, of which each has this many instances: n1, n2, ..."""
        self.folder = Path(folder)
        self.record = record
        self.started_at = time.time()
        os.environ["CASE_FOLDER"] = str(folder)
        self.processes = {}
        self.agents = agents
        ports = free_ports((1 + instances) * len(agents))
        addresses = {name: f"127.0.0.1:{ports.pop()}" for name in agents}
        for name in agents:
            entries = []
            for number in range(1, instances + 1):
                instance = f"n{number}"
                listen = f"127.0.0.1:{ports.pop()}"
                command = [str(PYTHON), "-m", "testkit.fakes.instance", listen, "good"]
                entries.append(
                    f"{instance}: {{command: {json.dumps(command)}, listen: {json.dumps(listen)}}}"
                )
            (self.folder / f"{name}.vet").write_text(
                f"""version: 1
agent: {{
  socket: {json.dumps(self.socket(name))}
  store: {json.dumps(str(self.folder / name) + ".store")}
  logs: {json.dumps(str(self.folder / name) + ".logs")}
  {self.peers(name, addresses)}
  versions: v2: {json.dumps([str(PYTHON), "-m", "testkit.fakes.instance", "{listen}", "good"])}
  instances: {{
    {chr(10).join(entries)}
  }}
}}
"""
            )

    def peers(self, name, addresses):
        """Return the agent's place in the fleet; an agent alone is in none."""
        if len(addresses) == 1:
            return ""
        agents = json.dumps(addresses)
        return f'peers: {{fleet: "pay", name: "{name}", listen: "{addresses[name]}", agents: {agents}}}'

    def log(self, text):
        self.record.write(f"{time.time() - self.started_at:9.3f} {text}\n")
        self.record.flush()

    def socket(self, name):
        return str(self.folder / f"{name}.sock")

    def start(self, name):
        self.log(f"the agent {name} is started")
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [PYTHON, "-m", "vetchford", "agent", "--with", str(self.folder / f"{name}.vet")],
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )

    def kill(self, name):
        self.log(f"the agent {name} is killed; its instances go on")
        self.processes[name].kill()
        self.processes.pop(name).wait()

    def tool(self, name, *arguments, timeout_s=90.0, quiet=False):
        """Run the tool on the socket of an agent; return its exit status and its output."""
        command = [PYTHON, "-m", "vetchford", "fleet", "--socket", self.socket(name), *arguments]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=timeout_s)
        if not quiet:
            shown = f"$ fleet --socket {name} {' '.join(arguments)}"
            self.log(f"{shown}\n{done.stdout}{done.stderr}[{done.returncode}]")
        return done.returncode, done.stdout

    def ask(self, name, *arguments):
        """Run the tool with --json; return the reply, or an empty one."""
        _, text = self.tool(name, "--json", *arguments, quiet=True)
        try:
            return json.loads(text)
        except ValueError:
            return {}

    def look(self, name, request):
        """Send a request as the tool does, without the 0.4 s of its start; return the reply, maybe empty."""
        try:
            with socket.socket(socket.AF_UNIX) as sock:
                sock.settimeout(5.0)
                sock.connect(self.socket(name))
                with sock.makefile("rwb") as stream:
                    stream.write(json.dumps(request).encode() + b"\n")
                    stream.flush()
                    return json.loads(stream.readline())
        except (OSError, ValueError):
            return {}

    def kill_instances(self):
        """Kill the instances, which go on without agents; their environment has this fleet's folder."""
        for entry in os.listdir("/proc"):
            if not entry.isdigit():
                continue
            try:
                environment = Path(f"/proc/{entry}/environ").read_bytes()
            except OSError:
                continue
            if b"VETCHFORD_INSTANCE=" in environment and f"CASE_FOLDER={self.folder}".encode() in environment:
                os.kill(int(entry), signal.SIGKILL)

    def close(self):
        for process in self.processes.values():
            process.kill()
            process.wait()
        self.kill_instances()
        for name in self.agents:
            log = self.folder / f"{name}.log"
            if log.exists():
                self.record.write(f"--- log of the agent {name}\n{log.read_text(errors='replace')}")


def wait_until(condition, seconds, interval_s=0.1):
    """Return whether a condition holds within this time."""
    end = time.time() + seconds
    while time.time() < end:
        if condition():
            return True
        time.sleep(interval_s)
    return False
