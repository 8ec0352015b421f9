import hypothesis
import pytest
from hypothesis import strategies

from tamarackgap import types
from tamarackgap.placement import slots


def test_a_key_always_has_the_same_slot():
    assert slots.slot_of_key(types.Key("hall-7"), 256) == 125
    assert slots.slot_of_key(types.Key("ghế-1"), 1) == 0


@pytest.mark.parametrize("count", [1, 2, 256, 65_536])
def test_slots_are_within_range(count):
    found = {slots.slot_of_key(types.Key(f"k{i}"), count) for i in range(500)}
    assert all(0 <= slot < count for slot in found)


@hypothesis.given(
    strategies.dictionaries(
        strategies.integers(0, 60),
        strategies.builds(
            slots.SlotAssignment,
            strategies.integers(1, 3),
            strategies.sampled_from(["", "a", "b"]),
        ),
    )
)
@hypothesis.settings(derandomize=True, deadline=None)
def test_runs_hold_what_was_compressed(holdings):
    runs = slots.compress(holdings)
    assert slots.expand(runs) == holdings
    assert len(runs) <= len(holdings)


def test_neighbours_with_the_same_holding_make_one_run():
    held = slots.SlotAssignment(3, "b")
    runs = slots.compress({4: held, 5: held, 7: held})
    assert runs == (
        slots.SlotRange(4, 5, 3, "b"),
        slots.SlotRange(7, 7, 3, "b"),
    )
