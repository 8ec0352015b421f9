"""Finds who claims slots whose owner and successor have both ended."""

from tamarackgap.placement import placement, records


def fences(
    view: records.TableView, incarnation: str, record: records.LeaseRecord
) -> dict[int, int]:
    """Returns the new fences of left slots that a daemon is to claim.

    The successor may have served them under the next fence without recording
    that in the table, so that fence is skipped. If the daemon that owned the
    slots has been restarted, it gets them back, because its target has
    served their keys.

    Args:
        view: The daemon's copy of the table.
        incarnation: The daemon.
        record: A closed record.
    """
    members = [m for m in view.current_members(record.service) if m.can_own]
    restarted = [m.incarnation for m in members if m.daemon == record.daemon]
    candidates = restarted or [member.incarnation for member in members]
    left = {}
    for slot_range in record.runs:
        successor = view.lease(slot_range.successor)
        if successor is not None and successor.is_open:
            continue
        if (
            placement.choose_by_rendezvous(slot_range.first, candidates)
            == incarnation
        ):
            for slot in range(slot_range.first, slot_range.last + 1):
                left[slot] = slot_range.fence + 2
    return left


def is_unread(view: records.TableView, record: records.LeaseRecord) -> bool:
    """Returns whether a record is newer than the last read of the table.

    Records of its slots' successors may have changed without being known here.

    Args:
        view: The daemon's copy of the table.
        record: The record.
    """
    return view.cursor < view.revision(record.key)


def needs_read(view: records.TableView, incarnation: str, service: str) -> bool:
    """Returns whether a table read has to show that a daemon may claim slots.

    All daemons of a service hear of its closed records, many at a time where
    many owners end. Only those that would claim slots from one read the table
    for it at once: the others' copies follow without that.

    Args:
        view: The daemon's copy of the table.
        incarnation: The daemon.
        service: Its service.
    """
    return any(
        record.runs
        and not record.is_open
        and record.service == service
        and is_unread(view, record)
        and fences(view, incarnation, record)
        for record in view.current_leases()
    )
