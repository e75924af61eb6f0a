from helpers import Recorder, new_controller, request_class, send

from vetchford.admission.request import RequestState
from vetchford.admission.settings import Effect
from vetchford.admission.workload import MAX_SLOWDOWN


def test_a_call_that_fails_after_its_request_was_failed_gives_no_second_answer():
    actions = Recorder()
    controller = new_controller(actions, share=4.0)
    send(controller, 0.0, 0)
    controller.run_blocked(10.0, 0)
    controller.on_tick(4399.0, None, None)
    assert actions.answers == {0: "fail"}
    controller.call_ended(4400.0, 0, "errored", 4390.0)
    controller.run_ended(4401.0, 0, "recalled", 4401.0)
    assert controller.workload.in_flight.used_bytes == 0.0 and not controller.workload.requests


def test_a_repeat_of_a_completed_request_with_a_key_is_shared_never_run_or_rejected():
    actions = Recorder()
    controller = new_controller(actions, classes=[request_class(effect=Effect.IDEMPOTENT_BY_KEY)])
    send(controller, 0.0, 0)
    controller.run_ended(300.0, 0, "completed", 300.0)
    send(controller, 400.0, 1, original=0)
    assert actions.names(1) == ["share"]


def test_a_server_that_rejected_all_after_slow_runs_admits_again_once_idle():
    # While all requests are rejected, no run can show that the slowdown has passed; idle ticks must decay it.
    actions = Recorder()
    controller = new_controller(actions, classes=[request_class()])
    for index, took_ms in enumerate([300.0] * 10 + [9000.0] * 60):
        send(controller, 0.0, index)
        if actions.names(index) == ["reject"]:
            break
        controller.run_ended(0.0, index, "completed", took_ms)
    assert actions.names(index) == ["reject"] and not controller.workload.running
    for tick in range(1, 100):
        controller.on_tick(tick * 50.0, 0.0, 0.0)
    send(controller, 5000.0, 101)
    assert actions.names(101) == ["start"]


def test_a_class_rejected_for_its_long_runs_is_admitted_again_after_the_relearn_time():
    # While a class is rejected, no run of it can correct its expected run time.
    actions = Recorder()
    controller = new_controller(actions, classes=[request_class(), request_class(priority_weight=3.0)])
    send(controller, 0.0, 0, class_index=1)
    controller.run_ended(9000.0, 0, "completed", 9000.0)
    send(controller, 9100.0, 1, class_index=1)
    assert actions.names(1) == ["reject"]
    send(controller, 15000.0, 2, class_index=1)
    assert actions.names(2) == ["start"]


def tick_until(controller, until_ms, utilization=1.0, on_cores=None, start_ms=0):
    """Deliver a tick every 50 ms after `start_ms`, up to and including `until_ms`."""
    for now_ms in range(start_ms + 50, until_ms + 1, 50):
        controller.on_tick(
            float(now_ms), utilization, controller.workload.running if on_cores is None else on_cores
        )


def test_the_idle_timeout_is_short_for_clients_that_seldom_send_and_full_for_those_that_often_do():
    # A thousand clients would fill a small server's connection table with connections that stay unused.
    for clients, expects_longest in ((1000, False), (4, True)):
        actions = Recorder()
        controller = new_controller(actions, clients=clients)
        for second in range(8):
            for index in range(5):
                send(controller, second * 1000.0, index, client=(5 * second + index) % clients)
                controller.run_ended(second * 1000.0, index, "completed", 100.0)
            tick_until(controller, second * 1000 + 1000, start_ms=second * 1000)
        timeouts_ms = [30_000.0] + [act[1] for act in actions.acts if act[0] == "set_idle_timeout"]
        assert (timeouts_ms[-1] == 30_000.0) is expects_longest and (
            expects_longest or timeouts_ms[-1] < 1000.0
        )


def test_the_idle_timeout_is_the_longest_while_requests_are_read_too_late():
    # Opening and reading new connections would add to the overload; a full table rejects them unread.
    actions = Recorder()
    controller = new_controller(actions, clients=1000)
    tick_until(controller, 2000)
    for index in range(60):
        send(controller, 2000.0, index, client=index, queued_for=1900.0)
    tick_until(controller, 2100, on_cores=8, start_ms=2000)
    assert [act[1] for act in actions.acts if act[0] == "set_idle_timeout"][-1] == 30_000.0


def test_with_many_clients_a_request_of_higher_priority_still_evicts_one_of_lower():
    # A client's share of the node threshold is smaller than a request here: one request must stay within it.
    actions = Recorder()
    controller = new_controller(actions, classes=[request_class(), request_class(priority_weight=10.0)])
    tick_until(controller, 50)
    controller.workload.in_flight.clearable_bytes = 100.0
    for index in range(12):
        send(controller, 60.0, index, client=index)
    send(controller, 61.0, 12, class_index=1, client=12)
    assert actions.names(12) == [] and list(actions.answers.values()).count("reject") > 0


def test_the_objective_of_a_retry_is_cut_by_the_age_that_its_deadline_shows():
    # No age is sent with a retry; run like a first attempt, the retry would finish too late. The deadlines of
    # first attempts may differ: here 2.2 and 2.3 s.
    actions = Recorder()
    controller = new_controller(actions, classes=[request_class()], cores=40)
    for index in range(60):
        send(controller, 0.0, index, deadline=2200.0 if index % 2 else 2300.0)
    assert (
        controller.workload.requests[58].objective_at_ms
        == controller.workload.requests[59].objective_at_ms
        == 1800.0
        and not controller.workload.requests[59].is_retry
    )
    send(controller, 0.0, 60, deadline=2900.0)  # a retry that is 1.5 s old
    assert (
        controller.workload.requests[60].is_retry
        and abs(controller.workload.requests[60].objective_at_ms - 300.0) < 45.0
    )


def test_little_reading_takes_no_slot_and_much_reading_leaves_one():
    for on_cores, expected_runs in ((0.3, 2), (9, 1)):
        actions = Recorder()
        controller = new_controller(actions, classes=[request_class()])
        tick_until(controller, 1000, on_cores=on_cores)
        for index in range(4):
            send(controller, 1000.0, index)
        assert controller.workload.running == expected_runs


def test_the_concurrency_limit_grows_only_below_half_utilization_and_its_floor_is_higher_without_work():
    # A limit that grew on half busy cores reached two runs per core, which slowed each other down.
    for work, utilization, expected in ((300.0, 0.6, 2.0), (None, 0.6, 3.0), (300.0, 0.3, 2.5)):
        actions = Recorder()
        controller = new_controller(actions, classes=[request_class()])
        for step in range(40):
            for index in range(4):
                send(controller, step * 300.0, 4 * step + index, work=work)
            for index in [
                index
                for index, request in controller.workload.requests.items()
                if request.state == RequestState.EXECUTING
            ]:
                controller.run_ended(step * 300.0 + 290.0, index, "completed", 290.0)
            tick_until(controller, step * 300 + 300, utilization=utilization, start_ms=step * 300)
        assert (
            controller.workload.limit.limit == expected
            if utilization > 0.5
            else controller.workload.limit.limit > expected
        )


def test_every_rejection_is_terminal_while_many_arrivals_are_retries():
    actions = Recorder()
    controller = new_controller(actions, classes=[request_class()])
    for index in range(40):
        send(controller, 0.0, index, is_retry=index % 2 == 0, size=4000)  # fills the memory
    assert [act[2] for act in actions.acts if act[0] == "reject"][-6:] == [True] * 6


def test_fleet_signals_stop_calls_reject_late_ones_make_rejections_terminal_and_lengthen_retry_after():
    # That neutral signals change nothing is checked by tests/admission/test_recorded_decisions.py.
    actions = Recorder()
    controller = new_controller(
        actions,
        classes=[
            request_class(latency_objective_ms=1000.0, timeout_ms=2000.0),
            request_class(skip_fraction=0.5),
        ],
        share=4.0,
    )
    controller.workload.dependency.base_time_ms.add(0.0, 40.0)
    controller.workload.classes[0].dependency_wait_ms = 40.0
    controller.workload.classes[0].last_completed_at_ms = 0.0
    assert controller.workload.dependency.may_call(0.0)
    controller.apply_fleet_signals(1.0, 0.0, False, 1.0)  # the dependency answers no calls
    assert not controller.workload.dependency.may_call(0.0)
    send(controller, 10.0, 1, 0)
    assert [act for act in actions.acts if act[0] == "reject"]
    controller.apply_fleet_signals(10.0, 1.0, True, 3.0)  # 400 ms per call, and all servers reject
    assert (
        controller.workload.dependency.min_call_time_ms == 400.0
        and controller.workload.dependency.may_call(0.0)
        and controller.workload.dependency.limit() == 4.0
    )
    controller.apply_fleet_signals(30.0, 1.0, True, 3.0)
    actions.acts.clear()
    send(controller, 20.0, 2, 0)
    (rejected,) = [act for act in actions.acts if act[0] == "reject"]
    assert rejected[2] is True  # another server would reject the request too
    controller.apply_fleet_signals(1.0, 1.0, False, 1.0)
    actions.acts.clear()
    send(controller, 30.0, 3, 0)
    assert not [act for act in actions.acts if act[0] == "reject"]
    usual_waits_ms = [controller.retry_after.draw_ms(10.0) for _ in range(50)]
    controller.retry_after.factor = 3.0
    tripled_waits_ms = [controller.retry_after.draw_ms(10.0) for _ in range(50)]
    assert 2.0 < sum(tripled_waits_ms) / sum(usual_waits_ms) < 4.0


def run_at_once(controller, now, index, took_ms, **request):
    """Send a request that runs and completes after `took_ms`."""
    send(controller, now, index, **request)
    controller.run_ended(now + took_ms, index, "completed", took_ms)


def test_requests_that_declare_next_to_no_size_do_not_close_the_node_threshold_for_others():
    # Guards against issue 60: the threshold had become lower than an ordinary request, for good.
    actions = Recorder()
    controller = new_controller(actions, classes=[request_class()])
    for index in range(200):
        run_at_once(controller, 30.0 * index, index, 20.0, client=1, size=1)
    send(controller, 7000.0, 500, client=2, size=1000)
    assert actions.names(500) == ["start"]


def test_requests_that_declare_next_to_no_work_do_not_make_the_runs_of_others_look_endless():
    # Guards against issue 60: one run of 20 ms over 0.001 ms of work raised the mean 20,000 times.
    actions = Recorder()
    controller = new_controller(actions, classes=[request_class()])
    for index in range(100):
        run_at_once(controller, 30.0 * index, index, 20.0, client=1, work=20.0)
    for index in range(100, 200):
        run_at_once(controller, 30.0 * index, index, 20.0, client=2, work=0.001)
    send(controller, 6100.0, 500, client=1, work=20.0)
    assert actions.names(500) == ["start"]
    expected_ms = controller.workload.expected_run_time_ms(controller.workload.requests[500])
    assert expected_ms < 2.0 * MAX_SLOWDOWN * 20.0  # the slowdown decays while the server is idle


def test_one_client_that_leaves_at_once_does_not_become_the_usual_wait():
    # Guards against issue 60: one departure after 5 ms made every objective the arrival itself.
    actions = Recorder()
    controller = new_controller(actions, classes=[request_class()])
    for index in range(100):
        send(controller, 10.0 * index, index, client=1)
        leave = (controller.client_disconnected, controller.client_gave_up)[index % 2]
        leave(10.0 * index + 5.0, index)
        controller.run_ended(10.0 * index + 9.0, index, "recalled", 9.0)
    send(controller, 2000.0, 500, client=2)
    assert actions.names(500) == ["start"]


def test_requests_that_the_worker_pool_never_ran_keep_no_memory_for_their_keys():
    # Guards against issue 60: unknown ids with ever new keys filled the memory for the window of a key.
    actions = Recorder()
    controller = new_controller(
        actions, classes=[request_class(effect=Effect.IDEMPOTENT_BY_KEY)], memory=2000.0
    )
    for index in range(100):
        send(controller, float(index), index, client=1)
        controller.run_ended(index + 0.5, index, "superseded", 0.0)
    assert controller.workload.in_flight.used_bytes == 0.0 and not controller.workload.requests
    send(controller, 200.0, 500, client=2)
    assert "start" in actions.names(500)


def test_an_idle_server_that_refuses_a_class_forgets_what_it_learned_and_reports_it():
    # Guards against a state in which nothing is admitted, so nothing is measured, so nothing changes.
    actions = Recorder()
    controller = new_controller(actions, classes=[request_class()])
    send(controller, 0.0, 0)
    controller.run_ended(9000.0, 0, "completed", 9000.0)
    for index, now_ms in enumerate((9100.0, 10_000.0, 11_000.0), 1):
        controller.on_tick(now_ms, 0.1, 0.0)
        send(controller, now_ms, index)
        assert actions.names(index) == ["reject"]
    send(controller, 11_101.0, 4)
    assert actions.names(4) == ["start"]
    assert ("report_idle_refusals", 3, 2001.0) in actions.acts


def test_a_busy_a_draining_and_a_stopped_server_keep_what_they_learned():
    for utilization, drains, queue in ((1.0, False, False), (0.1, True, False), (0.1, False, True)):
        actions = Recorder()
        controller = new_controller(actions, classes=[request_class()])
        send(controller, 0.0, 0)
        controller.run_ended(9000.0, 0, "completed", 9000.0)
        if drains:
            controller.start_draining(9000.0, 40_000.0)
        if queue:
            controller.workload.running = 3
        for index, now_ms in enumerate((9100.0, 10_000.0, 11_000.0, 11_200.0), 1):
            controller.health.last_progress_at_ms = now_ms
            controller.on_tick(now_ms, utilization, 0.0)
            send(controller, now_ms, index)
        assert "report_idle_refusals" not in [act[0] for act in actions.acts]
