import hypothesis
import pytest
from hypothesis import strategies

from tamarackgap import types
from tamarackgap.placement import slots


def test_slot_of_a_key_does_not_change():
    assert slots.slot_of_key(types.Key("hall-7"), 256) == 125
    assert slots.slot_of_key(types.Key("ghế-1"), 1) == 0


@pytest.mark.parametrize("count", [1, 2, 256, 65_536])
def test_slots_are_below_the_slot_count(count):
    results = {slots.slot_of_key(types.Key(f"k{i}"), count) for i in range(500)}
    assert all(0 <= slot < count for slot in results)


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
def test_expand_reverses_compress(assignments):
    ranges = slots.compress(assignments)
    assert slots.expand(ranges) == assignments
    assert len(ranges) <= len(assignments)


def test_adjacent_slots_with_equal_assignments_form_one_range():
    assignment = slots.SlotAssignment(3, "b")
    ranges = slots.compress({4: assignment, 5: assignment, 7: assignment})
    assert ranges == (
        slots.SlotRange(4, 5, 3, "b"),
        slots.SlotRange(7, 7, 3, "b"),
    )
