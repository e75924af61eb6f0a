"""Controllers built from settings in one process."""

from helpers import SETTINGS, Recorder

from vetchford.admission import factory
from vetchford.admission.request import RequestArrival, RequestState
from vetchford.protocol import platform_settings


def test_two_controllers_with_different_settings_do_not_affect_each_other():
    short_times = {"promise": 900_000_000, "deadline": 1_500_000_000}
    first_settings = {
        **SETTINGS,
        "requestClasses": [{**entry, **short_times} for entry in SETTINGS["requestClasses"]],
    }
    second_settings = {
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

    run_times_ms = {2: 60.0, 1: 400.0}  # by cores, so that the controllers measure different run times

    def simulate(*all_settings):
        recorders = [Recorder() for _ in all_settings]
        controllers = [
            factory.build(recorder, 7, platform_settings.decode(settings), False)
            for recorder, settings in zip(recorders, all_settings, strict=True)
        ]
        for step in range(400):
            now_ms = 10.0 * step
            for controller in controllers:
                deadline = now_ms + controller.workload.classes[step % 2].timeout_ms
                controller.request_arrived(
                    now_ms,
                    RequestArrival(step, step % 2, -1, step % 3, deadline, 20.0, 20_480, False, 0.0, None),
                )
                running = [
                    index
                    for index, request in controller.workload.requests.items()
                    if request.state == RequestState.EXECUTING
                ]
                for index in running[: step % 3 == 0]:
                    controller.run_ended(now_ms, index, "completed", run_times_ms[controller.workload.cores])
                if step % 5 == 0:
                    controller.on_tick(now_ms, 0.9, 2.0)
        return [recorder.acts for recorder in recorders]

    alone = [*simulate(first_settings), *simulate(second_settings)]
    for acts in alone:  # both kinds of decisions occur, so that a difference would show
        assert {"start", "reject"} <= {act[0] for act in acts}
    assert simulate(first_settings, second_settings) == alone
