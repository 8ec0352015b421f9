from tamarackgap.processes import neighbours

# Reads a second of all daemons together that a changing table may cost.
MOST_READS_PER_S = 20


def test_reads_of_a_changing_table_do_not_grow_with_the_daemons():
    for daemons in range(1, 81):
        assert daemons / neighbours.read_pause(daemons) <= MOST_READS_PER_S
