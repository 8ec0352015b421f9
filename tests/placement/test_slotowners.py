from tamarackgap.placement import slotowners


def test_a_route_gives_way_only_to_a_higher_fence():
    subject = slotowners.SlotOwners()
    assert subject.update("s", 1, slotowners.SlotOwner("a", 5))
    assert not subject.update("s", 1, slotowners.SlotOwner("b", 4))
    assert not subject.update("s", 1, slotowners.SlotOwner("b", 5))
    assert subject.find("s", 1).owner == "a"
    assert subject.update("s", 1, slotowners.SlotOwner("b", 6))
    assert subject.find("s", 1).owner == "b"
    assert subject.version == 2


def test_unknown_slots_have_no_route():
    assert slotowners.SlotOwners().find("s", 0) is None
