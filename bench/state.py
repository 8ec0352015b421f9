"""Memory and time that the view and the routes take, as daemons grow."""

import gc
import time
import tracemalloc

from bench import report
from tamarackgap.ownership import planner
from tamarackgap.placement import placement, records, slotowners, slots

_SERVICES = 6
_SLOTS = 32_768
_MEGABYTE = 1_000_000


def _rows(daemons: int) -> list[records.Row]:
    """Returns the lease records of daemons spread over six services."""
    members = daemons // _SERVICES
    rows = []
    for number in range(daemons):
        service, index = divmod(number, members)
        first = index * _SLOTS // members
        last = (index + 1) * _SLOTS // members
        runs = tuple(
            slots.SlotRange(
                slot, slot, 7, f"{(number * 7 + slot) % daemons:016x}"
            )
            for slot in range(first, last)
        )
        record = records.LeaseRecord(
            f"service-{service}",
            f"daemon-{number}",
            f"{number:016x}",
            "abcd"[number % 4],
            f"127.0.{number // 250}.1:9000",
            f"127.0.{number // 250}.1:9001",
            epoch=3,
            witnesses=("1" * 16, "2" * 16, "3" * 16),
            runs=runs,
            accepting=True,
        )
        row = records.Row(record.key, records.encode(record), number + 1)
        rows.append(row)
    return rows


def _measure(daemons: int) -> report.Row:
    rows = _rows(daemons)
    sent = sum(len(row.value) for row in rows)
    gc.collect()
    tracemalloc.start()
    begun = time.monotonic()
    view = records.TableView()
    view.merge(rows)
    known = slotowners.SlotOwners()
    for record in view.leases():
        known.update_from_record(record)
    loaded = time.monotonic() - begun
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    begun = time.monotonic()
    loads = {record.incarnation: 50.0 for record in view.leases()}
    members = planner.placement_members(view, "service-0", loads)
    placement.plan_moves(_SLOTS, members)
    planned = time.monotonic() - begun
    return {
        "daemons": daemons,
        "slots": _SERVICES * _SLOTS,
        "records_mb_on_wire": round(sent / _MEGABYTE, 1),
        "memory_mb": round(memory / _MEGABYTE, 1),
        "load_s_traced": round(loaded, 2),
        "plan_ms": round(planned * 1000, 1),
    }


def run(quick: bool) -> None:
    """Measures views of growing size."""
    sizes = (60, 120) if quick else (450, 900, 1800)
    report.show("state", [_measure(size) for size in sizes])
