import random
import types as module_types

from tamarackgap import types
from tamarackgap.peers import calls
from tamarackgap.traffic import crashes, dispatcher, routetable
from tests.traffic import test_targets


class DaemonProcess:
    """A process of a daemon whose calls all go to one other daemon."""

    def __init__(self):
        self.dispatches = []
        self.completions = []
        timer = module_types.SimpleNamespace(cancel=lambda: None)
        timers = module_types.SimpleNamespace(
            now=100.0, after=lambda seconds, call: timer
        )
        core = module_types.SimpleNamespace(
            incarnation="own",
            view=module_types.SimpleNamespace(
                lease=lambda incarnation: None, cursor=1
            ),
        )
        budget = module_types.SimpleNamespace(
            deposit=lambda: None, withdraw=lambda: False
        )
        self.dispatcher = dispatcher.Dispatcher(
            core,
            None,
            module_types.SimpleNamespace(send=self._send),
            timers,
            module_types.SimpleNamespace(for_service=lambda service: budget),
            random.Random(),
            crashes.CrashHistory(),
            "north",
        )
        self.dispatcher.update_status("other", "x:1", test_targets.status())

    def _send(self, sender, address, dispatch):
        self.dispatches.append(dispatch)
        return True

    def send(self, request_id):
        route = routetable.Route(
            "r",
            "h",
            "/",
            (routetable.WeightedService("s", 1),),
            False,
            2.0,
            0.4,
            1,
            0,
        )
        self.dispatcher.submit(
            calls.Call(request_id, "s", "POST", "/", b"", b"", None),
            route,
            100.0,
            1.0,
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
