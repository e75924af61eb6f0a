"""Reloads that meet. Rows and their state: docs/crossings.md."""

from testkit.faults.checkpoints import Checkpoint, run_in_thread
from testkit.faults.waiting import wait_until
from vetchford.server.reload import ConfigurationReloader


def test_a_failed_reload_does_not_block_later_reloads():
    """The second wish comes while the first is served, and that one ends in an error."""
    checkpoint, served = Checkpoint(), []

    def reload(configuration):
        served.append(configuration)
        checkpoint.come()
        if len(served) == 1:
            raise OSError("the disk")
        return {"stop_ms": len(served)}

    reloader = ConfigurationReloader({"stop_ms": 0}, reload, lambda act: run_in_thread(act))
    reloader.request()
    checkpoint.wait()
    reloader.request()
    checkpoint.open()
    wait_until(lambda: not reloader.reloading, "both are served")
    assert served == [{"stop_ms": 0}] * 2 and reloader.configuration == {"stop_ms": 2}
    reloader.request()
    wait_until(lambda: reloader.configuration == {"stop_ms": 3}, "one more")
