"""Controllers built from settings, beside each other."""

from helpers import SETTINGS, Recorder

from vetchford.admission import factory
from vetchford.admission.request import RequestArrival, RequestState
from vetchford.protocol import platform_settings


def test_two_controllers_with_different_settings_do_not_affect_each_other():
    short = {"promise": 900_000_000, "deadline": 1_500_000_000}
    told = {
        **SETTINGS,
        "requestClasses": [{**entry, **short} for entry in SETTINGS["requestClasses"]],
    }
    other = {
        **SETTINGS,
        "requestClasses": [
            {
                "name": "pay",
                "worth": 9.0,
                "promise": 300_000_000,
                "deadline": 900_000_000,
                "effect": "read_like",
            },
            {"name": "read", "worth": 1.0, "deadline": 700_000_000, "effect": "non_idempotent"},
        ],
        "customers": [],
        "familyInfo": {"cores": 1, "ramKb": 300.0, "blowup": 2.0, "ownStats": ["core_use"]},
    }

    takes = {2: 60.0, 1: 400.0}  # ms of a run, by the cores: what one learns is not what the other does

    def play(*tolds):
        hosts = [Recorder() for _ in tolds]
        nodes = [
            factory.build(host, 7, platform_settings.decode(its), False)
            for host, its in zip(hosts, tolds, strict=True)
        ]
        for step in range(400):
            now = 10.0 * step
            for node in nodes:
                deadline = now + node.workload.classes[step % 2].timeout_ms
                node.request_arrived(
                    now,
                    RequestArrival(step, step % 2, -1, step % 3, deadline, 20.0, 20_480, False, 0.0, None),
                )
                runs = [
                    q
                    for q, request in node.workload.requests.items()
                    if request.state == RequestState.EXECUTING
                ]
                for q in runs[: step % 3 == 0]:
                    node.run_ended(now, q, "completed", takes[node.workload.cores])
                if step % 5 == 0:
                    node.on_tick(now, 0.9, 2.0)
        return [host.acts for host in hosts]

    alone = [*play(told), *play(other)]
    for acts in alone:  # enough is decided for a difference to show
        assert {"start", "reject"} <= {act[0] for act in acts}
    assert play(told, other) == alone
