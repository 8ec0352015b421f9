from standins import platformcluster
from tamarackgap.platform import operatorconfig
from tamarackgap.traffic import leaselength


def make_table(*routes):
    return operatorconfig.decode(platformcluster.configuration(1, *routes))


def make_route(name, service, objective_ms):
    route = platformcluster.route(name, "h", f"/{name}/", service)
    route["spec"]["target_latency_ms"] = objective_ms
    return route


def test_lease_outlasts_longest_work_of_service():
    table = make_table(
        make_route("pay", "treasury", 700),
        make_route("list", "treasury", 4500),
        make_route("browse", "catalogue", 9000),
    )
    length = leaselength.needed_length(table, "treasury", 1.0, 0.0, 10.0)
    assert length == 5.5


def test_lease_without_routes_has_base_length():
    length = leaselength.needed_length(make_table(), "treasury", 1.0, 0.0, 10.0)
    assert length == 1.0


def test_lease_survives_a_late_heartbeat():
    table = make_table(make_route("pay", "treasury", 600))
    length = leaselength.needed_length(table, "treasury", 1.0, 0.9, 10.0)
    # The hold that is left half an interval after a heartbeat was due.
    assert length - 1.5 * 0.9 >= 1.0 + 0.6 - 1e-9


def test_lease_is_at_most_longest_hold():
    table = make_table(make_route("list", "treasury", 60_000))
    length = leaselength.needed_length(table, "treasury", 1.0, 0.0, 10.0)
    assert length == 10.0
    assert leaselength.needed_length(table, "treasury", 1.0, 0.0, 0.5) == 1.0
