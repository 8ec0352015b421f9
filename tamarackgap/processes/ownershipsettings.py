"""Converts the settings of a process to those of the ownership protocol."""

from tamarackgap.ownership import effects
from tamarackgap.settings import config

_PARTS_PER_MILLION = 1_000_000


def from_config(settings: config.Config) -> effects.Settings:
    """Returns the ownership protocol's settings, with times in seconds."""
    return effects.Settings(
        service=settings.daemon_service,
        daemon=settings.daemon_name,
        data_centre=settings.daemon_data_centre,
        peer_address=settings.daemon_peer_address,
        http_address=settings.daemon_http_address,
        slot_count=settings.ownership_slots,
        lease=settings.ownership_lease / 1000,
        linger=settings.ownership_linger / 1000,
        drift=settings.ownership_drift / _PARTS_PER_MILLION,
        witnesses=settings.ownership_witnesses,
        settle=settings.ownership_settle / 1000,
        batch=settings.ownership_batch,
    )
