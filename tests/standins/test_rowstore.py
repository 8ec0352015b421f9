import json

from standins import httpd, rowstore


def _get(store, path):
    return store.handle_request(httpd.Request("GET", path, {}, b""))


def _feed(store, after):
    return _get(store, f"/-/rows-feed?table=op&after={after}&wait_ms=0")


def test_a_store_without_copies_names_no_era():
    assert _feed(rowstore.RowStore(), 0).headers == {}


def test_a_store_that_goes_back_to_a_copy_gives_versions_out_again():
    store = rowstore.RowStore()
    store.put("op", "config", b"1")
    store.era = 4
    copy = store.copy()
    store.put("op", "config", b"2")
    assert _feed(store, 2).headers == {"Store_Era": "4"}
    store.restore(copy)
    assert store.value("op", "config") == b"1"
    lost = _feed(store, 2)
    assert (lost.status, lost.headers) == (410, {"Store_Era": "5"})
    store.put("op", "config", b"3")
    (row,) = json.loads(_feed(store, 1).body)["rows"]
    assert row["ver"] == 2
    store.failure_status = 429
    assert _feed(store, 1).headers == {"Store_Era": "5"}


def test_a_poll_from_a_version_that_the_copy_lacks_gets_410_at_once():
    store = rowstore.RowStore()
    copy = store.copy()
    store.put("op", "config", b"1")
    store.restore(copy)
    answer = _get(store, "/-/rows-feed?table=op&after=1&wait_ms=30000")
    assert answer.status == 410
