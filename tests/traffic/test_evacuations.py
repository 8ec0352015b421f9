"""Evacuations of data centres: their spread, against faults of all kinds."""

import itertools

import pytest

from tamarackgap.traffic import evacuations
from tests.support import tablenetwork

SECONDS = 45.0


def state(revision, *data_centres):
    return evacuations.Evacuations(frozenset(data_centres), revision)


def test_older_news_do_not_undo_a_removal():
    keeper = evacuations.EvacuationKeeper()
    changes = []
    keeper.on_change = lambda is_read: changes.append(
        (sorted(keeper.newest.data_centres), is_read)
    )
    keeper.hear(state(0), "h:1")
    keeper.handle_read(state(5, "a"))
    keeper.hear(state(7, "a"), "h:1")
    keeper.hear(state(9), "h:1")
    keeper.hear(state(7, "a"), "h:2")
    keeper.handle_read(state(8, "a"))
    keeper.handle_read(state(9))
    assert changes == [(["a"], True), ([], False)]
    assert keeper.newest == state(9)


def test_a_later_era_wins_over_a_higher_revision():
    # The store came back from a copy, and its revisions went back.
    keeper = evacuations.EvacuationKeeper()
    keeper.handle_read(state(90, "a"))
    after = evacuations.Evacuations(frozenset({"b"}), 70, era=1)
    keeper.handle_read(after)
    keeper.hear(state(95, "a"), "h:1")
    assert keeper.newest == after


def know(network, data_centre):
    """Returns the daemons that know that a data centre is evacuated."""
    return {
        daemon.name
        for daemon in network.daemons.values()
        if data_centre in daemon.evacuations.newest.data_centres
    }


@pytest.mark.parametrize("count", [1, 3, 12, 77])
def test_an_evacuation_is_known_to_all_within_a_second(count):
    network = tablenetwork.Network(count, count)
    network.run(12.0)
    network.evacuate("a")
    network.run(1.0)
    assert len(know(network, "a")) == count
    network.evacuate("a", False)
    network.run(1.0)
    assert not know(network, "a")


def test_few_of_many_daemons_read_an_evacuation_from_the_store():
    network = tablenetwork.Network(1, 77)
    network.run(12.0)
    calls = network.route_table_calls
    network.evacuate("a")
    network.run(1.0)
    assert network.route_table_calls - calls < 30


def test_a_daemon_that_starts_later_knows_it():
    network = tablenetwork.Network(1, 36)
    network.run(12.0)
    network.evacuate("a")
    network.run(2.0)
    for daemon in list(network.daemons.values())[::5]:
        network.restart(daemon, 0.5)
    network.run(2.0)
    assert len(know(network, "a")) == 36
    network.evacuate("a", False)
    network.run(20.0)
    assert network.violations == []


@pytest.mark.parametrize("is_evacuated", [True, False])
def test_a_change_that_is_no_longer_in_the_history_is_seen(is_evacuated):
    network = tablenetwork.Network(1, 36)
    network.run(12.0)
    if not is_evacuated:
        network.evacuate("a")
        network.run(2.0)
    network.silence_store(1.0)
    network.run(0.1)
    network.reset_store_connections()
    network.evacuate("a", is_evacuated)
    network.forget_history()
    network.run(10.0)
    assert len(know(network, "a")) == (36 if is_evacuated else 0)
    assert network.violations == []


def test_daemons_without_the_store_hear_of_it():
    network = tablenetwork.Network(1, 77)
    network.run(12.0)
    cut_off = [
        daemon.name
        for daemon in network.daemons.values()
        if daemon.data_centre == "a"
    ]
    # All that follow the store in that data centre are among them.
    network.cut(15.0, {(name, tablenetwork.STORE) for name in cut_off})
    network.run(0.1)
    network.evacuate("a")
    network.run(1.0)
    assert know(network, "a") >= set(cut_off)


def test_the_first_that_reads_it_dies_before_it_tells_others():
    network = tablenetwork.Network(2, 36)
    network.run(12.0)
    network.evacuate("a")
    while not know(network, "a"):
        network.run(0.001)
    for name in know(network, "a"):
        network.restart(network.daemons[name], 30.0)
    network.run(1.0)
    alive = {d.name for d in network.daemons.values() if d.is_alive}
    assert know(network, "a") >= alive
    network.run(8.0)
    assert network.violations == []


@pytest.mark.parametrize("seed", range(24))
def test_an_evacuation_is_known_in_time_under_faults(seed):
    network = tablenetwork.Network(seed, [2, 5, 12, 36][seed % 4])
    tablenetwork.draw_faults(network, SECONDS)
    wanted = itertools.cycle([True, False])

    def change():
        if not network._is_silent and network._failure_status is None:
            network.evacuate(network.rng.choice("abc"), next(wanted))
        network.after(network.rng.uniform(0.1, 9.0), change)

    network.after(network.rng.uniform(3.0, 6.0), change)
    network.run(SECONDS)
    assert [v for v in network.violations if v[2] == "evacuation"] == []
