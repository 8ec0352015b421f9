"""Embeds the ownership protocol in another program.

All members and their table run in one process here; a real program would send
the messages over its own transport. When run, it prints the slots that each
member owns.
"""

import random

from standins import table as table_lib
from tamarackgap.ownership import effects, ownership
from tamarackgap.peers import messages
from tamarackgap.placement import records

STEP_S = 0.02


def create_member(number: int, now: float) -> ownership.Ownership:
    """Returns a member of the service `tickets`.

    Args:
        number: Number of the member, for its name, addresses and seed.
        now: Simulated time, seconds.
    """
    settings = effects.Settings(
        service="tickets",
        daemon=f"member-{number}",
        data_centre=f"centre-{number}",
        peer_address=f"127.0.0.1:{7000 + number}",
        http_address=f"127.0.0.1:{8000 + number}",
        slot_count=16,
    )
    rng = random.Random(number)
    member = ownership.Ownership(settings, rng, lambda slot: False, now)
    member.set_target_state(True)
    return member


def execute_effects(
    member: ownership.Ownership,
    members: dict[str, ownership.Ownership],
    table: table_lib.Table,
    now: float,
) -> None:
    """Executes the effects of a member: messages, table writes, log lines.

    Args:
        member: Member whose effects are executed.
        members: All members, by their peer address.
        table: Table of leases.
        now: Simulated time, seconds.
    """
    own_address = member.settings.peer_address
    for effect in member.take_effects():
        match effect:
            case effects.Send(sender=sender, address=address, message=message):
                envelope = messages.Envelope(
                    "demo", sender, own_address, message
                )
                members[address].receive(envelope, now)
            case effects.Commit(change=change):
                committed, rows = table.commit(change.transaction)
                state = effects.CommitState.CONFLICT
                if committed:
                    state = effects.CommitState.COMMITTED
                member.handle_commit_result(
                    change.transaction.change, state, rows, now
                )
            case effects.LogLine(event=event, fields=fields):
                print(f"{now:5.2f} {member.settings.daemon} {event} {fields}")


def main() -> None:
    """Runs four members for three seconds of simulated time."""
    table = table_lib.Table()
    members = {
        member.settings.peer_address: member
        for member in (create_member(number, 0.0) for number in range(4))
    }
    for step in range(int(3 / STEP_S)):
        now = step * STEP_S
        for member in members.values():
            revision, rows = table.rows_since(member.view.cursor)
            member.apply_table_read(list[records.Row](rows), revision, now)
            member.report_load({}, now)
            member.tick(now)
            execute_effects(member, members, table, now)
    for member in members.values():
        print(member.settings.daemon, "owns", sorted(member.owned))


if __name__ == "__main__":
    main()
