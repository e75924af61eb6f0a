"""Race tests of reports to the membership service, on loopback. Rows and their state: docs/crossings.md."""

import errno
import socket

from testkit.fakes.peers import WAIT_TIMEOUT_S
from testkit.faults.checkpoints import Checkpoint, Wrapped
from vetchford.runtime.metrics import Metrics
from vetchford.server.registry_reporter import RegistryReporter


def test_a_readiness_change_during_a_heartbeat_is_sent_next():
    service = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    service.bind(("127.0.0.1", 0))
    service.settimeout(WAIT_TIMEOUT_S)
    reporter, checkpoint = RegistryReporter(service.getsockname(), "n1", Metrics()), Checkpoint()
    reporter.sock = Wrapped(reporter.sock, sendto=checkpoint.before(reporter.sock.sendto))
    reporter.start()
    reporter.post(reporter.set_readiness, True)
    checkpoint.wait()
    reporter.post(reporter.set_readiness, False)
    checkpoint.open()
    assert [service.recv(64) for _ in range(3)] == [b"HB n1 UP", b"HB n1 OUT", b"HB n1 OUT"]


def test_heartbeats_continue_after_send_errors_and_after_a_change_of_address():
    services = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2)]
    for service in services:
        service.bind(("127.0.0.1", 0))
        service.settimeout(WAIT_TIMEOUT_S)
    reporter, failed = RegistryReporter(services[0].getsockname(), "n1", Metrics()), []
    send = reporter.sock.sendto

    def sendto(*given):
        if len(failed) < 3:
            failed.append(1)
            raise OSError(errno.ENETUNREACH, "unreachable")
        return send(*given)

    reporter.sock = Wrapped(reporter.sock, sendto=sendto)
    reporter.start()
    reporter.post(reporter.set_readiness, True)
    assert services[0].recv(64) == b"HB n1 UP" and len(failed) == 3
    reporter.post(reporter.change_address, services[1].getsockname())
    reporter.post(reporter.set_readiness, False)
    while (report := services[1].recv(64)) == b"HB n1 UP":
        pass  # sent between the two
    assert report == b"HB n1 OUT"
