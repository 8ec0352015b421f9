from tamarackgap.processes import neighbours

# Reads a second of all daemons together that a changing table may cost.
MOST_READS_PER_S = 20
# Messages a second that one daemon may spend on its status.
MOST_MESSAGES_PER_S = 100.001


def test_reads_of_a_changing_table_do_not_grow_with_the_daemons():
    for daemons in range(1, 81):
        assert daemons / neighbours.read_pause(daemons) <= MOST_READS_PER_S


def test_messages_of_a_status_do_not_grow_with_the_daemons():
    for daemons in range(1, 101):
        told = daemons / neighbours.status_interval(daemons)
        assert told <= MOST_MESSAGES_PER_S
