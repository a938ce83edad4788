"""The settings that an instance is given at its start, decoded once for the module: the same object comes as
`path=value` lines on the bench's wire and as nested JSON in a balancer's configuration."""

from .decide import DEAR
from .model import FIELDS, Repeat, Settings, Track

US = 1000  # ns in a microsecond
REPEATS = {"repeatable": Repeat.PURE, "by_key": Repeat.RECEIPTED, "once": Repeat.EFFECTFUL}
TRUTH = {"true": True, "false": False}
WEIGHTS = {word: word for word in ("none", "nominal", "rough", "live")}
# Reports that come with probes only are none here, since no probe is sent: no reason not to start.
VIA = {"none": "none", "answers": "answers", "probe": "none"}


def positive(text):
    if not 0 < (number := int(text)) < 2**62:
        raise ValueError(text)
    return number


class SettingsFault(ValueError):
    """A setting is missing or holds what it cannot; the text names its key."""


def flatten(tree, path=""):
    """Nested JSON as the wire's pairs: objects and lists become dotted paths, a list tells its length."""
    pairs = {}
    if isinstance(tree, dict):
        for name, value in tree.items():
            pairs |= flatten(value, f"{path}.{name}" if path else name)
    elif isinstance(tree, list) and any(isinstance(item, dict) for item in tree):
        pairs[f"{path}.count"] = str(len(tree))
        for i, item in enumerate(tree):
            pairs |= flatten(item, f"{path}.{i}")
    elif isinstance(tree, list):
        pairs[path] = ",".join(str(item) for item in tree)
    elif tree is not None:
        whole = isinstance(tree, float) and tree.is_integer()  # JSON has one kind of number, the wire two
        pairs[path] = str(tree).lower() if isinstance(tree, bool) else str(int(tree) if whole else tree)
    return pairs


class Pairs:
    """Typed reading of pairs of text."""

    def __init__(self, pairs):
        self.pairs = pairs

    def value(self, key, kind, default=None):
        found = self.pairs.get(key, default)
        if found is None:
            raise SettingsFault(f"the settings lack {key}")
        try:
            return TRUTH[found] if kind is bool else kind(found)
        except (KeyError, ValueError):
            raise SettingsFault(f"the setting {key} holds {found!r}") from None

    def listed(self, key):
        return tuple(item for item in self.value(key, str, "").split(",") if item)

    def time(self, key, default=None):
        return self.value(key, int, default) * US


def check(pairs) -> None:
    """One build serves two shapes of deployment: a mix of them is a fault, of the key that does not fit."""
    pairs = Pairs(pairs)
    value, columns = pairs.value, pairs.listed("feedback.columns")
    weights = value("weights", WEIGHTS.__getitem__, "none")
    via = value("feedback.via", VIA.__getitem__, "none")
    if weights == "live" and value("discovery", str) != "automatic":
        raise SettingsFault(
            "weights holds 'live', which needs a list that comes unasked (discovery automatic)"
        )
    if weights == "live" and via != "answers":
        raise SettingsFault("weights holds 'live', which needs reports (feedback.via answers)")
    if via == "answers" and not FIELDS.keys() & set(columns):
        raise SettingsFault(
            f"feedback.columns holds no load ({','.join(columns)!r}), with feedback.via answers"
        )
    if value("feedback.via", str, "none") == "none" and columns:
        raise SettingsFault(f"feedback.columns holds {','.join(columns)!r}, but feedback.via none")
    zones, own = pairs.listed("failureDomains"), value("myZone", int, "0")
    if not 0 <= own < max(1, len(zones)):
        raise SettingsFault(f"myZone holds {own}: failureDomains has {len(zones)}")
    # With one zone there is none to cross to, whatever it would cost: that is no mix.
    if value("penalties.crossZone", float, "0") >= DEAR and not ("myZone" in pairs.pairs and zones):
        raise SettingsFault("myZone or failureDomains is missing, which a dear penalties.crossZone needs")


def decode(pairs) -> Settings:
    """The settings that the module reads; unknown keys are skipped."""
    pairs = Pairs(pairs)
    value, time = pairs.value, pairs.time
    tracks = tuple(
        Track(
            repeat=value(f"tracks.{i}.effect", REPEATS.__getitem__),
            group=value(f"tracks.{i}.group", str, "all"),
            remembered=time(f"tracks.{i}.keyTtlUs", "0"),
            promised=value(f"tracks.{i}.promisedTimeUs", positive) * US,
            benefit=value(f"tracks.{i}.benefit", float, "1"),
        )
        for i in range(value("tracks.count", int))
    )
    quotas = tuple(
        value(f"tenants.{i}.quotaPerS", float, "0") for i in range(value("tenants.count", int, "0"))
    )
    advised = value("limits.retryAfter", bool, "false")
    return Settings(
        tracks=tracks,
        quotas=quotas,
        balancers=value("balancers", int, "1"),
        origin_kind=value("extra.originKind", int, "-1"),
        sized=value("weights", str, "none") in ("nominal", "rough"),
        live=value("weights", str, "none") == "live",
        zone=value("myZone", int, "0"),
        cross_price=value("penalties.crossZone", float, "0"),
        columns=pairs.listed("feedback.columns") if value("feedback.via", str, "none") == "answers" else (),
        subscribe=value("discovery", str) == "subscribe",
        ask_within=time("rules.askWithinUs", "10000000"),
        most_legs=value("limits.mostLegs", int),
        advise_wait=time("limits.maxRetryAfterUs", "0") if advised else 0,
        only_drains=value("rules.onlyDrainingBinds", bool, "false"),
        start_share=value("rules.startCapacity", float),
        warm_within=time("rules.warmWithinUs"),
        fall_multiple=value("rules.fallMultiple", float),
        fall_time=time("rules.fallUs"),
        open_price=value("penalties.connection", float, "1"),
        dial_price=value("penalties.handshake", float, "1"),
    )
