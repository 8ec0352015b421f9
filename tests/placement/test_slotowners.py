from tamarackgap.placement import slotowners


def test_only_a_higher_fence_replaces_an_owner():
    owners = slotowners.SlotOwners()
    assert owners.update("s", 1, slotowners.SlotOwner("a", 5))
    assert not owners.update("s", 1, slotowners.SlotOwner("b", 4))
    assert not owners.update("s", 1, slotowners.SlotOwner("b", 5))
    assert owners.find("s", 1).owner == "a"
    assert owners.update("s", 1, slotowners.SlotOwner("b", 6))
    assert owners.find("s", 1).owner == "b"
    assert owners.version == 2


def test_unknown_slot_has_no_owner():
    assert slotowners.SlotOwners().find("s", 0) is None
