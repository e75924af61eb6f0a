"""Race tests of reports to the registry, on loopback. Cases: docs/crossings.md."""

import errno
import socket

from testkit.fakes.peers import WAIT_TIMEOUT_S
from testkit.faults.checkpoints import Checkpoint, Wrapped
from vetchford.runtime.metrics import Metrics
from vetchford.server.registry_reporter import RegistryReporter


def test_a_readiness_change_during_a_heartbeat_is_sent_next():
    registry = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    registry.bind(("127.0.0.1", 0))
    registry.settimeout(WAIT_TIMEOUT_S)
    reporter, checkpoint = RegistryReporter(registry.getsockname(), "n1", Metrics()), Checkpoint()
    reporter.sock = Wrapped(reporter.sock, sendto=checkpoint.before(reporter.sock.sendto))
    reporter.start()
    reporter.post(reporter.set_readiness, True)
    checkpoint.wait()
    reporter.post(reporter.set_readiness, False)
    checkpoint.open()
    assert [registry.recv(64) for _ in range(3)] == [b"HB n1 UP", b"HB n1 OUT", b"HB n1 OUT"]


def test_heartbeats_continue_after_send_errors_and_after_a_change_of_address():
    registries = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2)]
    for registry in registries:
        registry.bind(("127.0.0.1", 0))
        registry.settimeout(WAIT_TIMEOUT_S)
    reporter, failures = RegistryReporter(registries[0].getsockname(), "n1", Metrics()), []
    sendto = reporter.sock.sendto

    def fail_three_times(*arguments):
        if len(failures) < 3:
            failures.append(1)
            raise OSError(errno.ENETUNREACH, "unreachable")
        return sendto(*arguments)

    reporter.sock = Wrapped(reporter.sock, sendto=fail_three_times)
    reporter.start()
    reporter.post(reporter.set_readiness, True)
    assert registries[0].recv(64) == b"HB n1 UP" and len(failures) == 3
    reporter.post(reporter.change_address, registries[1].getsockname())
    reporter.post(reporter.set_readiness, False)
    while (report := registries[1].recv(64)) == b"HB n1 UP":
        pass  # sent after the change of address and before the change of readiness
    assert report == b"HB n1 OUT"
