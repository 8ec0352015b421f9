import random
import types as module_types

import pytest

from tamarackgap import types
from tamarackgap.peers import calls
from tamarackgap.scheduling import ways
from tamarackgap.traffic import crashes, dispatcher, routetable
from tests.traffic import test_targets


class DaemonProcess:
    """A process of a daemon whose calls all go to one other daemon."""

    def __init__(self, may_rerun=False):
        self.dispatches = []
        self.completions = []
        self.is_connected = True
        # The owner of all slots of services with keys.
        self.owner = "other"
        timer = module_types.SimpleNamespace(cancel=lambda: None)
        # Calls that were scheduled.
        self.scheduled = []

        def after(seconds, call):
            self.scheduled.append(call)
            return timer

        self.timers = timers = module_types.SimpleNamespace(
            now=100.0, after=after
        )
        record = module_types.SimpleNamespace(peer_address="x:1", slots=16)
        core = module_types.SimpleNamespace(
            incarnation="own",
            view=module_types.SimpleNamespace(
                lease=lambda incarnation: record,
                service_record=lambda service: record,
                cursor=1,
            ),
            slot_owners=module_types.SimpleNamespace(
                find=lambda service, slot: module_types.SimpleNamespace(
                    owner=self.owner
                )
            ),
        )
        self.way = ways.Way()
        budget = module_types.SimpleNamespace(
            deposit=lambda: None, withdraw=lambda: may_rerun
        )
        self.dispatcher = dispatcher.Dispatcher(
            core,
            module_types.SimpleNamespace(way=self.way),
            module_types.SimpleNamespace(send=self._send),
            timers,
            module_types.SimpleNamespace(for_service=lambda service: budget),
            random.Random(),
            crashes.CrashHistory(),
            "north",
        )
        self.dispatcher.update_status("other", "x:1", test_targets.status())

    def _send(self, sender, address, message):
        if isinstance(message, calls.Dispatch):
            self.dispatches.append(message)
        elif isinstance(message, calls.Upload):
            self.dispatches.append(message.dispatch)
        return self.is_connected

    def report(self, incarnation, address, process):
        self.dispatcher.update_status(
            incarnation, address, test_targets.status(process=process)
        )

    def set_keyed(self):
        service = routetable.Service("s", True, 16)
        self.dispatcher.configure(
            routetable.RouteTable(1, (), {"s": service}, None)
        )

    def answer(self, dispatch, status=200):
        self.dispatcher.handle_completion(
            dispatch.owner,
            calls.Completion(
                dispatch.leg, types.Verdict.ANSWERED, status=status
            ),
        )

    @property
    def statuses(self):
        return [completion.status for completion in self.completions]

    def send(self, request_id, idempotent=False, body=b""):
        route = routetable.Route(
            "r",
            "h",
            "/",
            (routetable.WeightedService("s", 1),),
            idempotent,
            20.0,
            0.4,
            2 if idempotent else 1,
            0,
        )
        self.dispatcher.submit(
            calls.Call(request_id, "s", "POST", "/", b"", body, 7),
            route,
            100.0,
            15.0,
            self.completions.append,
        )


def test_a_completion_for_the_process_before_is_dropped():
    earlier, later = DaemonProcess(), DaemonProcess()
    for process in (earlier, later):
        process.send("r")
    for dispatch in earlier.dispatches:
        later.dispatcher.handle_completion(
            "other",
            calls.Completion(dispatch.leg, types.Verdict.ANSWERED, status=200),
        )
    assert later.completions == []
    (dispatch,) = later.dispatches
    later.dispatcher.handle_completion(
        "other",
        calls.Completion(dispatch.leg, types.Verdict.ANSWERED, status=200),
    )
    assert [completion.status for completion in later.completions] == [200]


# Longer than a daemon may be silent, but it is not forgotten yet.
SILENT_S = 5.0


def test_owner_that_had_not_reported_when_it_was_sent_a_call_is_not_silent():
    # A process that had just started answered 502 after 1.2 s for requests that
    # their owners ran, though these had reported since.
    process = DaemonProcess(may_rerun=True)
    process.set_keyed()
    process.owner = "owner"
    process.send("r", idempotent=True)
    process.timers.now += SILENT_S
    process.report("owner", "y:1", "p9")
    process.owner = "other"
    process.dispatcher.rerun_silent_legs()
    (dispatch,) = process.dispatches
    process.answer(dispatch)
    assert process.statuses == [200]


@pytest.mark.parametrize("keyed", [True, False])
@pytest.mark.parametrize("may_rerun", [True, False])
def test_silence_of_a_daemon_alone_ends_no_call(keyed, may_rerun):
    process = DaemonProcess(may_rerun)
    if keyed:
        process.set_keyed()
    process.send("r", idempotent=True)
    process.timers.now += SILENT_S
    process.dispatcher.rerun_silent_legs()
    assert process.completions == []
    (dispatch,) = process.dispatches
    process.answer(dispatch)
    assert process.statuses == [200]


@pytest.mark.parametrize("keyed", [True, False])
@pytest.mark.parametrize("first_answers", [True, False])
def test_call_at_a_silent_daemon_runs_elsewhere_and_both_answers_count(
    keyed, first_answers
):
    process = DaemonProcess(may_rerun=True)
    if keyed:
        process.set_keyed()
    process.send("r", idempotent=True)
    process.timers.now += SILENT_S
    process.report("third", "z:1", "p3")
    process.owner = "third"
    process.dispatcher.rerun_silent_legs()
    first, second = process.dispatches
    assert (first.owner, second.owner) == ("other", "third")
    process.answer(first, 200 if first_answers else 500)
    assert process.statuses == ([200] if first_answers else [])
    process.answer(second, 201)
    assert process.statuses == ([200] if first_answers else [201])
    assert process.dispatcher.in_flight == 0


def test_call_that_must_not_run_twice_waits_for_a_silent_daemon():
    process = DaemonProcess(may_rerun=True)
    process.send("r")
    process.timers.now += SILENT_S
    process.report("third", "z:1", "p3")
    process.dispatcher.rerun_silent_legs()
    assert len(process.dispatches) == 1
    assert process.completions == []


def test_requests_are_answered_before_the_process_ends():
    # Their connections ended without an answer.
    process = DaemonProcess()
    process.send("sent")
    process.set_keyed()
    process.owner = None
    process.dispatcher._core.view.lease = lambda incarnation: None
    process.send("waits")
    process.dispatcher.give_up()
    verdicts = [completion.verdict for completion in process.completions]
    assert sorted(verdict.value for verdict in verdicts) == [
        types.Verdict.MAY_HAVE_RUN.value,
        types.Verdict.NOT_RUN.value,
    ]
    assert process.dispatcher.in_flight == 0


def test_another_daemon_gets_less_time_where_answers_arrive_late():
    # Answers and refusals were sent in time there and late here.
    prompt, late = DaemonProcess(), DaemonProcess()
    for _ in range(50):
        late.way.record(0.3, 100.0)
    for process in (prompt, late):
        process.send("r")
    (usual,), (shortened,) = prompt.dispatches, late.dispatches
    assert usual.remaining == pytest.approx(15.0)
    assert shortened.remaining == pytest.approx(14.7, abs=0.01)
    assert shortened.objective_remaining == pytest.approx(0.1, abs=0.01)


def test_travel_and_sizes_are_learnt_from_answers():
    process = DaemonProcess()
    process.send("r")
    (dispatch,) = process.dispatches
    process.timers.now += 0.1
    process.dispatcher.handle_completion(
        "other",
        calls.Completion(
            dispatch.leg,
            types.Verdict.ANSWERED,
            status=200,
            body=b"a" * 700,
            took=0.096,
        ),
    )
    zones = process.dispatcher.zones
    assert zones.travel.travel("north") == pytest.approx(0.004)
    assert zones.sizes.usual("s") == 700


def pass_deadline(process):
    process.scheduled[0]()


def forget_daemon(process):
    process.dispatcher._drop_daemon("other")


def lose_connection(process):
    process.is_connected = False
    credit = calls.BodyCredit(process.dispatches[0].leg, 262_144)
    process.dispatcher.bodies.handle_credit(credit)


@pytest.mark.parametrize("end", [pass_deadline, forget_daemon, lose_connection])
def test_a_request_whose_body_was_not_sent_whole_has_not_run(end):
    # Uploads that never arrived were answered as if they might have run.
    process = DaemonProcess()
    process.send("r", body=bytes(5_000_000))
    (dispatch,) = process.dispatches
    process.dispatcher.bodies.handle_credit(calls.BodyCredit(dispatch.leg, 0))
    end(process)
    (completion,) = process.completions
    assert completion.verdict is types.Verdict.NOT_RUN
    assert not process.dispatcher.bodies.is_incomplete(dispatch.leg)


@pytest.mark.parametrize("end", [pass_deadline, forget_daemon])
def test_a_request_whose_body_was_sent_whole_may_have_run(end):
    process = DaemonProcess()
    process.send("r", body=bytes(1_000_000))
    (dispatch,) = process.dispatches
    process.dispatcher.bodies.handle_credit(calls.BodyCredit(dispatch.leg, 0))
    end(process)
    (completion,) = process.completions
    assert completion.verdict is types.Verdict.MAY_HAVE_RUN
