"""Reports to the list between two lines, on loopback. Rows and their state: docs/crossings.md."""

import errno
import socket

from testkit.fakes.peers import PATIENCE
from testkit.faults.checkpoints import Checkpoint, Wrapped
from vetchford.runtime.metrics import Metrics
from vetchford.server.registry_reporter import RegistryReporter


def test_a_verdict_that_changes_while_a_report_is_under_way_is_reported_next():
    inbox = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    inbox.bind(("127.0.0.1", 0))
    inbox.settimeout(PATIENCE)
    members, gate = RegistryReporter(inbox.getsockname(), "n1", Metrics()), Checkpoint()
    members.sock = Wrapped(members.sock, sendto=gate.before(members.sock.sendto))
    members.start()
    members.post(members.judge, True)
    gate.wait()
    members.post(members.judge, False)
    gate.open()
    assert [inbox.recv(64) for _ in range(3)] == [b"HB n1 UP", b"HB n1 OUT", b"HB n1 OUT"]


def test_reports_go_on_by_themselves_when_none_gets_out_and_when_the_service_moves():
    inboxes = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2)]
    for inbox in inboxes:
        inbox.bind(("127.0.0.1", 0))
        inbox.settimeout(PATIENCE)
    members, failed = RegistryReporter(inboxes[0].getsockname(), "n1", Metrics()), []
    send = members.sock.sendto

    def sendto(*given):
        if len(failed) < 3:
            failed.append(1)
            raise OSError(errno.ENETUNREACH, "unreachable")
        return send(*given)

    members.sock = Wrapped(members.sock, sendto=sendto)
    members.start()
    members.post(members.judge, True)
    assert inboxes[0].recv(64) == b"HB n1 UP" and len(failed) == 3
    members.post(members.move, inboxes[1].getsockname())
    members.post(members.judge, False)
    while (report := inboxes[1].recv(64)) == b"HB n1 UP":
        pass  # sent between the two
    assert report == b"HB n1 OUT"
