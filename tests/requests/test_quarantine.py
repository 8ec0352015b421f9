import msgspec

from tamarackgap.peers import messages
from tamarackgap.requests import quarantine

STANDING = quarantine.QuarantineState


def forward(**changed):
    values = {
        "owner": "o",
        "leg": "l",
        "request_id": "r",
        "service": "s",
        "key": "k",
        "slot": 1,
        "method": "POST",
        "path": "/pay",
        "body": b"b",
        "remaining": 1.0,
        "idempotent": False,
        "attempt": 1,
        "first_sent_ms": 0,
        "urgent": True,
        **changed,
    }
    return messages.Forward(**values)


def test_a_content_is_the_same_under_another_id_and_owner():
    first = quarantine.fingerprint_of(forward())
    again = forward(request_id="r2", leg="l2", owner="p", attempt=3)
    assert quarantine.fingerprint_of(again) == first


def test_contents_that_differ_are_told_apart():
    found = {
        quarantine.fingerprint_of(forward(**changed))
        for changed in (
            {},
            {"body": b"c"},
            {"key": "k2"},
            {"path": "/pa", "key": "yk"},
            {"method": "PUT"},
        )
    }
    assert len(found) == 5


def test_a_conviction_is_not_eased_but_ends():
    subject = quarantine.Quarantine(duration=10.0, limit=5)
    subject.add("x", STANDING.BLOCKED, 0.0)
    subject.add("x", STANDING.SUSPECTED, 1.0)
    assert subject.state("x", 5.0) is STANDING.BLOCKED
    assert subject.state("x", 11.0) is STANDING.CLEAR


def test_a_suspect_that_did_no_harm_is_clear():
    subject = quarantine.Quarantine(duration=10.0, limit=5)
    subject.add("x", STANDING.SUSPECTED, 0.0)
    subject.remove("x")
    assert subject.state("x", 0.0) is STANDING.CLEAR


def test_only_so_many_are_kept():
    subject = quarantine.Quarantine(duration=10.0, limit=3)
    for name in "abcd":
        subject.add(name, STANDING.SUSPECTED, 0.0)
    assert len(subject) == 3
    assert subject.state("a", 0.0) is STANDING.CLEAR


def test_messages_about_crashes_survive_the_wire():
    crashed = messages.CrashReport(("x",), exclusive=True)
    envelope = messages.Envelope("d", "s", "a", crashed)
    assert messages.decode(messages.encode(envelope)) == envelope
    assert msgspec.structs.asdict(crashed)["exclusive"]
