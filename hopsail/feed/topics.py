"""What the feeds carry: topics of keyed entries, and who follows which of them."""

from enum import IntEnum


class Topic(IntEnum):
    """The kind of an entry; the key and the value's encoding are told for each."""

    CONFIGURATION = 1  # `configuration.items`: route/NAME, service/NAME, tenant/NAME, limits, revision
    INSTANCE = 2  # instance id -> `hosts.instance` encoding, merged monotonically
    TARGET = 3  # model -> decimal revision of its weights that is to be in force
    LOAD = 4  # `Instance.load_key` of a host's model -> `weights` encoding of the progress of an order
    PREFIX_CACHE = 5  # host or store, salt and block, separated by spaces -> decimal tokens
    STORE = 6  # service of a store -> `store_status` encoding
    BALANCERS = 7  # "count" -> decimal upper bound of live data planes
    LISTING = 8  # control process -> decimal count of its complete readings of the platform's list
    REQUIRED = 9  # model -> decimal revision that a host must hold to be used: its time to load is over
    EVACUATION = 10  # zone -> `evacuation` encoding; never removed


SOFT_TOPICS = (Topic.INSTANCE, Topic.LOAD, Topic.LISTING)  # control processes follow each other's
DATA_PLANE_TOPICS = tuple(topic for topic in Topic if topic is not Topic.LISTING)
