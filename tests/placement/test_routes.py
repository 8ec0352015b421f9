from tamarackgap.placement import routes


def test_a_route_gives_way_only_to_a_higher_fence():
    subject = routes.Routes()
    assert subject.learn("s", 1, routes.Route("a", 5))
    assert not subject.learn("s", 1, routes.Route("b", 4))
    assert not subject.learn("s", 1, routes.Route("b", 5))
    assert subject.find("s", 1).owner == "a"
    assert subject.learn("s", 1, routes.Route("b", 6))
    assert subject.find("s", 1).owner == "b"
    assert subject.version == 2


def test_unknown_slots_have_no_route():
    assert routes.Routes().find("s", 0) is None
