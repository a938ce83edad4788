"""The target versions of the models' weights, as the operator named them."""

import json

from hopsail.errors import HopsailError

MAX_MODELS = 4096
MAX_NAME_LENGTH = 512
FIRST_REVISION = 1


class TargetError(HopsailError, ValueError):
    """A version can't be named, or stored targets can't be read."""


class WeightTargets:
    """The highest named revision of each model; it only rises."""

    def __init__(self) -> None:
        """Create targets without any model."""
        self._revisions: dict[str, int] = {}

    def name(self, model: str, revision: int) -> bool:
        """Name a version; return whether it raised the target.

        False means that this one or a newer one has been named before, which is answered like a success.

        Raises:
            TargetError: the version is not valid, or there are too many models.
        """
        _check(model, revision)
        current = self._revisions.get(model)
        if current is not None and revision <= current:
            return False
        if current is None and len(self._revisions) >= MAX_MODELS:
            raise TargetError("too many models")
        self._revisions[model] = revision
        return True

    def revision(self, model: str) -> int | None:
        """Return the target of a model, None when none has been named."""
        return self._revisions.get(model)

    def all(self) -> dict[str, int]:
        """Return the target of each model (a copy)."""
        return dict(self._revisions)

    def encode(self) -> bytes:
        """Return the targets as compact JSON, the same for the same targets."""
        return json.dumps(self._revisions, separators=(",", ":"), sort_keys=True).encode()

    @classmethod
    def decode(cls, data: bytes) -> "WeightTargets":
        """Read what `encode` wrote.

        Raises:
            TargetError: the bytes are not encoded targets.
        """
        try:
            stored = json.loads(data)
        except (ValueError, RecursionError) as error:
            raise TargetError("the targets are not JSON") from error
        if not isinstance(stored, dict):
            raise TargetError("the targets are not an object")
        targets = cls()
        for model, revision in stored.items():
            targets.name(model, revision)
        return targets


def _check(model: object, revision: object) -> None:
    if not isinstance(model, str) or not 0 < len(model) <= MAX_NAME_LENGTH:
        raise TargetError("the model is not a name")
    if type(revision) is not int or revision < FIRST_REVISION:
        raise TargetError("the revision is not a positive integer")
