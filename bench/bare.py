"""A minimal `circuits.web` server, to measure the cost of the framework."""

import sys

import circuits
from circuits.web import events, servers


class BareHandler(circuits.Component):
    """Responds to every request with the two bytes `ok`."""

    channel = "web"

    @circuits.handler("request", priority=10)
    def _on_request(
        self, event: circuits.Event, request: object, response: object
    ) -> bool:
        event.stop()
        response.headers["Content-Type"] = "text/plain"
        response.body = b"ok"
        self.fire(events.response(response))
        return True


def main(address: str) -> None:
    """Serves at `address`, which is `ip:port`, until the process is killed."""
    root = circuits.Component()
    servers.BaseServer(address, display_banner=False).register(root)
    BareHandler().register(root)
    root.run()


if __name__ == "__main__":
    main(sys.argv[1])
