"""The whole server in a process of its own."""

import json
import os
import re
import shlex
import signal
import subprocess
import sys
import threading

from testkit.fakes.peers import PATIENCE, TOLD, Balancer, PoolPeer, RecordsPeer, reports_here


class Running:
    """The whole server in a process of its own, in front of the stand-ins."""

    COMMAND = (sys.executable, "-m", "vetchford", "serve")
    if os.environ.get("VETCHFORD_RUN"):  # how the operators start it
        COMMAND = ("/bin/sh", "-c", os.environ["VETCHFORD_RUN"])

    def __init__(
        self,
        folder,
        up=True,
        cold=False,
        records_up=True,
        stop_ms=8000,
        sockets=128,
        files=None,
        listen="127.0.0.1:0",
        given=(),
        no_records=False,
        **told,
    ):
        self.pool, self.records = PoolPeer(cold, up), RecordsPeer(records_up)
        self.members = reports_here()
        self.no_records = no_records  # the platform names none where nothing is below
        self.config, self.stop_ms, self.sockets, self.told = folder / "config.json", stop_ms, sockets, told
        self.write_config(listen)
        command = (*self.COMMAND[:-1], " ".join((self.COMMAND[-1], *map(shlex.quote, given))))
        if self.COMMAND[0] == sys.executable:
            command = (*self.COMMAND, *given)
        if files:  # fewer descriptors than it is told of
            command = ("/bin/sh", "-c", f"ulimit -n {files}; exec {shlex.join(command)}")
        self.process = subprocess.Popen(
            command,
            stderr=subprocess.STDOUT,
            stdout=subprocess.PIPE,
            text=True,
            env={**os.environ, "ROUTER_CONFIG": str(self.config)},
        )
        self.log = []
        for line in self.process.stdout:
            self.log.append(line)
            if found := re.search(r"listen=\S+?:(\d+)", line):
                self.port = int(found[1])
                break
        assert hasattr(self, "port"), self.log
        self.drainer = threading.Thread(target=self.log.extend, args=(self.process.stdout,), daemon=True)
        self.drainer.start()
        if up:
            self.pool.take("bind")
            assert self.heard_report() == ["HB", "n1", "UP"]

    def write_config(self, listen="127.0.0.1:0"):
        self.config.write_text(
            json.dumps(
                {
                    "name": "n1",
                    "listen": listen,
                    "pool": self.pool.address,
                    "records": None if self.no_records else self.records.address,
                    "members": f"127.0.0.1:{self.members.getsockname()[1]}",
                    "seed": "8c1f30d27a5be964",
                    "stop_ms": self.stop_ms,
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
                    "settings": {**TOLD, **self.told},
                }
            )
        )

    def move(self):
        """New stand-ins for all three peers, in which the pool's runs go on; told by SIGHUP. The old ones."""
        old = self.pool, self.records, self.members
        self.pool, self.records, self.members = PoolPeer(), RecordsPeer(), reports_here()
        self.pool.notices, self.pool.number = old[0].notices, old[0].number
        self.write_config()
        self.process.send_signal(signal.SIGHUP)
        return old

    def balancer(self):
        return Balancer(self.port)

    def heard_report(self):
        return self.members.recv(64).decode().split()

    def stop(self):
        """Drains it; what it logged."""
        self.process.send_signal(signal.SIGTERM)
        assert self.process.wait(PATIENCE) == 0, "".join(self.log)
        self.drainer.join(PATIENCE)
        return "".join(self.log)

    def __enter__(self):
        return self

    def __exit__(self, *problem):
        self.process.kill()
        self.process.wait()
        assert "part_broke" not in "".join(self.log), "".join(self.log)
