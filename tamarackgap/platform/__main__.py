"""Runs a router daemon on the users' platform."""

import functools
import os
import pathlib
import sys

from returns import result

from tamarackgap import logs
from tamarackgap.platform import operatorconfig, requests, servers, store
from tamarackgap.processes import router
from tamarackgap.settings import config
from tamarackgap.traffic import adapter, runner

_SETTINGS_VARIABLE = "TAMARACKGAP_NODE_FILE"
_EXIT_USAGE = 2


def main() -> int:
    """Runs the daemon until SIGTERM; returns the exit status."""
    path = os.environ.get(_SETTINGS_VARIABLE)
    if path is None:
        print(f"{_SETTINGS_VARIABLE} is not set", file=sys.stderr)
        return _EXIT_USAGE
    read_settings = functools.partial(config.load, pathlib.Path(path))
    match read_settings():
        case result.Failure(problem):
            print(problem, file=sys.stderr)
            return _EXIT_USAGE
        case result.Success(config.Config() as settings):
            pass
        case other:
            raise AssertionError(other)
    logs.start(settings.daemon_log, settings.daemon_name)
    daemon = router.Router(settings, read_settings)
    daemon.begin(
        adapter.Adapter(
            store=store.Store(
                daemon.poller,
                daemon.timers,
                settings.table_address,
                daemon.budget,
            ),
            decode_call=requests.decode_call,
            encode_response=requests.encode_response,
            codec=runner.Codec(
                requests.encode_call,
                requests.is_answer_to,
                requests.decode_answer,
            ),
            encode_order=servers.encode_order,
            is_order_answer=servers.is_order_answer,
            decode_order_answer=servers.decode_order_answer,
            encode_announcement_answer=servers.encode_heartbeat_answer,
            max_hold_ranges=servers.MAX_HOLD_RANGES,
            decode_announcement=servers.decode_announcement,
            decode_table=operatorconfig.decode,
        )
    )
    router.run(daemon)
    return 0


if __name__ == "__main__":
    sys.exit(main())
