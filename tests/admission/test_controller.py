from helpers import Recorder, new_controller, request_class, send

from vetchford.admission.request import RequestState
from vetchford.admission.settings import Effect


def test_a_call_that_fails_after_its_request_was_failed_gives_no_second_answer():
    host = Recorder()
    server = new_controller(host, share=4.0)
    send(server, 0.0, 0)
    server.run_blocked(10.0, 0)
    server.on_tick(4399.0, None, None)
    assert host.answers == {0: "fail"}
    server.call_ended(4400.0, 0, "errored", 4390.0)
    server.run_ended(4401.0, 0, "recalled", 4401.0)
    assert server.workload.in_flight.used_bytes == 0.0 and not server.workload.requests


def test_a_repeat_of_a_completed_request_with_a_key_is_shared_never_run_or_rejected():
    host = Recorder()
    server = new_controller(host, classes=[request_class(effect=Effect.IDEMPOTENT_BY_KEY)])
    send(server, 0.0, 0)
    server.run_ended(300.0, 0, "completed", 300.0)
    send(server, 400.0, 1, original=0)
    assert host.names(1) == ["share"]


def test_a_server_that_rejected_all_after_slow_runs_admits_again_once_idle():
    # Nothing runs while all is rejected, so only idleness can unlearn the slowdown.
    host = Recorder()
    server = new_controller(host, classes=[request_class()])
    for q, took in enumerate([300.0] * 10 + [9000.0] * 60):
        send(server, 0.0, q)
        if host.names(q) == ["reject"]:
            break
        server.run_ended(0.0, q, "completed", took)
    assert host.names(q) == ["reject"] and not server.workload.running
    for at in range(1, 100):
        server.on_tick(at * 50.0, 0.0, 0.0)
    send(server, 5000.0, 101)
    assert host.names(101) == ["start"]


def test_a_class_rejected_for_its_long_runs_is_admitted_again_after_the_relearn_time():
    # A rejected class has no runs that would correct its expected run time.
    host = Recorder()
    server = new_controller(host, classes=[request_class(), request_class(priority_weight=3.0)])
    send(server, 0.0, 0, kind=1)
    server.run_ended(9000.0, 0, "completed", 9000.0)
    send(server, 9100.0, 1, kind=1)
    assert host.names(1) == ["reject"]
    send(server, 15000.0, 2, kind=1)
    assert host.names(2) == ["start"]


def swept(server, until, busy=1.0, on_cores=None, start=0):
    for at in range(start + 50, until + 1, 50):
        server.on_tick(float(at), busy, server.workload.running if on_cores is None else on_cores)


def test_the_idle_timeout_is_short_where_clients_seldom_come_and_full_where_they_often_do():
    # A thousand clients fill a small server's connection table with connections that nobody uses again.
    for callers, kept in ((1000, False), (4, True)):
        host = Recorder()
        server = new_controller(host, clients=callers)
        for second in range(8):
            for q in range(5):
                send(server, second * 1000.0, q, client=(5 * second + q) % callers)
                server.run_ended(second * 1000.0, q, "completed", 100.0)
            swept(server, second * 1000 + 1000, start=second * 1000)
        told = [30_000.0] + [act[1] for act in host.acts if act[0] == "set_idle_timeout"]
        assert (told[-1] == 30_000.0) is kept and (kept or told[-1] < 1000.0)


def test_the_idle_timeout_is_full_while_requests_are_read_too_late():
    # Each new connection and read costs more than it brings there; a full table turns them away unread.
    host = Recorder()
    server = new_controller(host, clients=1000)
    swept(server, 2000)
    for q in range(60):
        send(server, 2000.0, q, client=q, queued_for=1900.0)
    swept(server, 2100, on_cores=8, start=2000)
    assert [act[1] for act in host.acts if act[0] == "set_idle_timeout"][-1] == 30_000.0


def test_with_many_clients_a_request_of_higher_priority_still_evicts_one_of_lower():
    # A caller's part of the threshold is less than a request there: nobody is over it with one request alone.
    host = Recorder()
    server = new_controller(host, classes=[request_class(), request_class(priority_weight=10.0)])
    swept(server, 50)
    server.workload.in_flight.clearable_bytes = 100.0
    for q in range(12):
        send(server, 60.0, q, client=q)
    send(server, 61.0, 12, kind=1, client=12)
    assert host.names(12) == [] and list(host.answers.values()).count("reject") > 0


def test_the_objective_of_a_retry_is_cut_by_the_age_that_its_deadline_shows():
    # Its age is not told; run as if new it would finish too late. Callers may differ: 2.2 and 2.3 s are new.
    host = Recorder()
    server = new_controller(host, classes=[request_class()], cores=40)
    for q in range(60):
        send(server, 0.0, q, deadline=2200.0 if q % 2 else 2300.0)
    assert (
        server.workload.requests[58].objective_at_ms == server.workload.requests[59].objective_at_ms == 1800.0
        and not server.workload.requests[59].is_retry
    )
    send(server, 0.0, 60, deadline=2900.0)  # 1.5 s old
    assert (
        server.workload.requests[60].is_retry
        and abs(server.workload.requests[60].objective_at_ms - 300.0) < 45.0
    )


def test_slots_are_rounded_up_beside_a_little_reading_and_one_is_left_beside_much():
    for on_cores, runs in ((0.3, 2), (9, 1)):
        host = Recorder()
        server = new_controller(host, classes=[request_class()])
        swept(server, 1000, on_cores=on_cores)
        for q in range(4):
            send(server, 1000.0, q)
        assert server.workload.running == runs


def test_the_concurrency_limit_grows_only_below_half_utilization_and_its_floor_is_higher_without_work():
    # Grown while half busy it stood at two runs a core, which lost their time to each other.
    for work, busy, expected in ((300.0, 0.6, 2.0), (None, 0.6, 3.0), (300.0, 0.3, 2.5)):
        host = Recorder()
        server = new_controller(host, classes=[request_class()])
        for step in range(40):
            for q in range(4):
                send(server, step * 300.0, 4 * step + q, work=work)
            for q in [
                q
                for q, request in server.workload.requests.items()
                if request.state == RequestState.EXECUTING
            ]:
                server.run_ended(step * 300.0 + 290.0, q, "completed", 290.0)
            swept(server, step * 300 + 300, busy=busy, start=step * 300)
        assert (
            server.workload.limit.limit == expected if busy > 0.5 else server.workload.limit.limit > expected
        )


def test_where_retries_abound_every_rejection_is_terminal():
    host = Recorder()
    server = new_controller(host, classes=[request_class()])
    for q in range(40):
        send(server, 0.0, q, is_retry=q % 2 == 0, size=4000)  # memory is short
    assert [act[2] for act in host.acts if act[0] == "reject"][-6:] == [True] * 6


def test_fleet_signals_stop_calls_reject_late_ones_make_rejections_terminal_and_lengthen_retry_after():
    # At rest the numbers change nothing: tests/admission/test_recorded_decisions.py has the digests.
    host = Recorder()
    server = new_controller(
        host,
        classes=[
            request_class(latency_objective_ms=1000.0, timeout_ms=2000.0),
            request_class(skip_fraction=0.5),
        ],
        share=4.0,
    )
    server.workload.dependency.base_time_ms.add(0.0, 40.0)
    server.workload.classes[0].dependency_wait_ms = 40.0
    server.workload.classes[0].last_completed_at_ms = 0.0
    assert server.workload.dependency.may_call(0.0)
    server.apply_fleet_signals(1.0, 0.0, False, 1.0)  # dead
    assert not server.workload.dependency.may_call(0.0)
    send(server, 10.0, 1, 0)
    assert [act for act in host.acts if act[0] == "reject"]
    server.apply_fleet_signals(10.0, 1.0, True, 3.0)  # slow: 400 ms a call, and all turn away
    assert (
        server.workload.dependency.min_call_time_ms == 400.0
        and server.workload.dependency.may_call(0.0)
        and server.workload.dependency.limit() == 4.0
    )
    server.apply_fleet_signals(30.0, 1.0, True, 3.0)
    host.acts.clear()
    send(server, 20.0, 2, 0)
    (rejected,) = [act for act in host.acts if act[0] == "reject"]
    assert rejected[2] is True  # walking on is useless
    server.apply_fleet_signals(1.0, 1.0, False, 1.0)
    host.acts.clear()
    send(server, 30.0, 3, 0)
    assert not [act for act in host.acts if act[0] == "reject"]
    short = [server.retry_after.draw_ms(10.0) for _ in range(50)]
    server.retry_after.factor = 3.0
    long = [server.retry_after.draw_ms(10.0) for _ in range(50)]
    assert 2.0 < sum(long) / sum(short) < 4.0
