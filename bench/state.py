"""Measures memory and time that the table view and slot owners take."""

import gc
import time
import tracemalloc

from bench import report
from tamarackgap.ownership import planner
from tamarackgap.placement import placement, records, slotowners, slots

_SERVICE_COUNT = 6
_SLOTS_PER_SERVICE = 32_768
_BYTES_PER_MB = 1_000_000


def _lease_rows(daemons: int) -> list[records.Row]:
    """Returns lease records of daemons that are spread over the services."""
    members = daemons // _SERVICE_COUNT
    rows = []
    for number in range(daemons):
        service, index = divmod(number, members)
        first = index * _SLOTS_PER_SERVICE // members
        last = (index + 1) * _SLOTS_PER_SERVICE // members
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
    rows = _lease_rows(daemons)
    encoded_bytes = sum(len(row.value) for row in rows)
    gc.collect()
    tracemalloc.start()
    started_at = time.monotonic()
    view = records.TableView()
    view.merge(rows)
    slot_owners = slotowners.SlotOwners()
    for record in view.leases():
        slot_owners.update_from_record(record)
    load_s = time.monotonic() - started_at
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    started_at = time.monotonic()
    loads = {record.incarnation: 50.0 for record in view.leases()}
    members = planner.placement_members(view, "service-0", loads)
    placement.plan_moves(_SLOTS_PER_SERVICE, members)
    plan_s = time.monotonic() - started_at
    return {
        "daemons": daemons,
        "slots": _SERVICE_COUNT * _SLOTS_PER_SERVICE,
        "records_mb_on_wire": round(encoded_bytes / _BYTES_PER_MB, 1),
        "memory_mb": round(memory / _BYTES_PER_MB, 1),
        "load_s_traced": round(load_s, 2),
        "plan_ms": round(plan_s * 1000, 1),
    }


def run(quick: bool) -> None:
    """Measures views of tables of growing size.

    Args:
        quick: Whether to measure small tables only.
    """
    sizes = (60, 120) if quick else (450, 900, 1800)
    report.show("state", [_measure(size) for size in sizes])
