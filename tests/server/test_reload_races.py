"""Race tests of concurrent reloads of the configuration. Cases: docs/crossings.md."""

from testkit.faults.checkpoints import Checkpoint, run_in_thread
from testkit.faults.waiting import wait_until
from vetchford.server.reload import ConfigurationReloader


def test_a_failed_reload_does_not_block_later_reloads():
    """A reload is requested while another one runs, which then fails."""
    checkpoint, reloaded = Checkpoint(), []

    def reload(configuration):
        reloaded.append(configuration)
        checkpoint.pass_or_wait()
        if len(reloaded) == 1:
            raise OSError("disk error")
        return {"stop_ms": len(reloaded)}

    reloader = ConfigurationReloader({"stop_ms": 0}, reload, lambda run: run_in_thread(run))
    reloader.request()
    checkpoint.wait()
    reloader.request()
    checkpoint.open()
    wait_until(lambda: not reloader.reloading, "both reloads have ended")
    assert reloaded == [{"stop_ms": 0}] * 2 and reloader.configuration == {"stop_ms": 2}
    reloader.request()
    wait_until(lambda: reloader.configuration == {"stop_ms": 3}, "the third reload has ended")
