import msgspec

from tamarackgap.peers import messages
from tamarackgap.requests import quarantine

STATE = quarantine.QuarantineState


def make_forward(**changes):
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
        **changes,
    }
    return messages.Forward(**values)


def test_fingerprint_does_not_depend_on_ids_and_owner():
    first = quarantine.fingerprint_of(make_forward())
    repeated = make_forward(request_id="r2", leg="l2", owner="p", attempt=3)
    assert quarantine.fingerprint_of(repeated) == first


def test_fingerprint_depends_on_each_part_of_the_content():
    fingerprints = {
        quarantine.fingerprint_of(make_forward(**changes))
        for changes in (
            {},
            {"body": b"c"},
            {"key": "k2"},
            {"path": "/pa", "key": "yk"},
            {"method": "PUT"},
        )
    }
    assert len(fingerprints) == 5


def test_blocked_stays_blocked_until_it_expires():
    quarantined = quarantine.Quarantine(duration=10.0, limit=5)
    quarantined.add("x", STATE.BLOCKED, 0.0)
    quarantined.add("x", STATE.SUSPECTED, 1.0)
    assert quarantined.state("x", 5.0) is STATE.BLOCKED
    assert quarantined.state("x", 11.0) is STATE.CLEAR


def test_removed_fingerprint_is_clear():
    quarantined = quarantine.Quarantine(duration=10.0, limit=5)
    quarantined.add("x", STATE.SUSPECTED, 0.0)
    quarantined.remove("x")
    assert quarantined.state("x", 0.0) is STATE.CLEAR


def test_oldest_fingerprint_is_dropped_over_the_limit():
    quarantined = quarantine.Quarantine(duration=10.0, limit=3)
    for name in "abcd":
        quarantined.add(name, STATE.SUSPECTED, 0.0)
    assert len(quarantined) == 3
    assert quarantined.state("a", 0.0) is STATE.CLEAR


def test_crash_report_survives_encoding_and_decoding():
    report = messages.CrashReport(("x",), exclusive=True)
    envelope = messages.Envelope("d", "s", "a", report)
    assert messages.decode(messages.encode(envelope)) == envelope
    assert msgspec.structs.asdict(report)["exclusive"]
