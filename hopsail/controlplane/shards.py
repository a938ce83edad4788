"""How control state is cut into shards."""

from zlib import crc32

CONFIGURATION_SHARD = 0
SERVICE_SHARDS = 3
SHARD_COUNT = 1 + SERVICE_SHARDS
SHARD_NAMES = ("configuration", *(f"services-{number}" for number in range(SERVICE_SHARDS)))


def shard_of_service(service: str) -> int:
    """The shard that holds a service's state."""
    return 1 + crc32(service.encode()) % SERVICE_SHARDS


def shard_of_zone(zone: str) -> int:
    """The shard that holds a zone's evacuation."""
    return 1 + crc32(zone.encode()) % SERVICE_SHARDS
