"""The state of shard 0: the operator's configuration, and which changes have been taken. No I/O."""

import json
import re
from collections.abc import Generator, Iterator, Mapping
from hashlib import blake2b
from typing import Any, NamedTuple

from ..configuration.changes import ConfigurationChanges
from ..configuration.checker import (
    check_configuration_steps,
    parse_configuration_steps,
    parse_patch_steps,
    run_steps,
)
from ..configuration.codes import ConfigurationError, ResultCode
from ..configuration.configuration_index import ConfigurationIndex
from ..configuration.types import Configuration, Patch
from .commands import Command, CommandKind, Result
from .compaction import json_decode_steps, json_encode_steps

MAX_DIGESTS = 4096  # changes whose bytes' digests are remembered, for calls that are sent again
MIN_LARGE_BODY_BYTES = 64 << 10  # of a body whose reading is a step of its own
OK = 200
ESCAPED_SURROGATE = re.compile(rb"\\u[dD][89a-fA-F]")  # alone it is no text that the feed could carry

Verdict = tuple[Result, Configuration | Patch | None]


def digest_of(command: Command) -> str:
    """What is the same for a call that is sent again unchanged."""
    text = b"%d %d " % (command.kind, command.base) + command.body
    return blake2b(text, digest_size=12).hexdigest()


class ConfigurationState:
    """The newest configuration, and digests of the changes that led to it.

    `forgotten` is the highest revision whose digest is not kept any more. A change that was taken and led to
    it, or to one below, builds on a revision below it. So of what builds on none below it the digests tell
    surely whether it was taken; of anything else that is not among them nothing is told, as what was taken
    once must not be refused.

    A patch costs what it changes; a whole configuration costs its whole, once: what `judge` has found is
    kept for the `apply` that follows."""

    def __init__(self):
        self.taken: dict[str, int] = {}  # digest -> revision, in the order of revisions
        self.forgotten = 0
        self._index: ConfigurationIndex | None = None
        self._judged: _Judged | None = None

    @property
    def configuration(self) -> Configuration | None:
        """The whole; after a patch it is made anew, in time linear in the items."""
        return self._index.configuration if self._index is not None else None

    @property
    def revision(self) -> int:
        return self._index.revision if self._index is not None else 0

    @property
    def changes(self) -> ConfigurationChanges | None:
        """What has changed since `clear_changes`; None if all may have."""
        return self._index.changes if self._index is not None else None

    def clear_changes(self) -> None:
        """The changes so far are known to whoever asks for them."""
        if self._index is not None:
            self._index.clear_changes()

    def judge(self, command: Command) -> Verdict:
        """What would come of the command now, and the configuration or patch that it would put in force."""
        return run_steps(self.judging(command))

    def judging(self, command: Command) -> Generator[None, None, Verdict]:
        """`judge` in steps, between which other work may be done; then `judge` costs little.

        The verdict is that on the state as it was at the first step. It is kept until the next one."""
        digest, base = digest_of(command), self.revision
        if digest in self.taken:
            return Result(OK, value=self.taken[digest]), None
        if command.base < self.forgotten:
            return Result.rejection(ResultCode.CONTROL_FORGOTTEN, value=base), None
        if command.base != base:
            return Result.rejection(ResultCode.REVISION_MISMATCH, value=base), None
        judged = self._judged
        if judged is None or judged.digest != digest:
            content = yield from self._judging_content(command)
            judged = self._judged = _Judged(digest, *content)
        return judged.result, judged.content

    def _judging_content(self, command: Command) -> Generator[None, None, tuple]:
        """The result, what it puts in force, and the index of a whole configuration."""
        if len(command.body) > MIN_LARGE_BODY_BYTES:
            yield  # to have read it in whole was a step by itself
        try:
            if command.kind is CommandKind.PUT_CONFIGURATION:
                content = yield from self._checked_configuration(command.body)
                index = yield from ConfigurationIndex.build_steps(content)
            else:
                content, index = (yield from self._checked_patch(command.body)), None
        except ConfigurationError as error:
            return Result.rejection(error.code, error.item), None, None
        except ArithmeticError:  # whole numbers beyond what can be weighed
            return Result.rejection(ResultCode.WRONG_TYPE, "Routes"), None, None
        return Result(OK, value=content["Revision"]), content, index

    def _checked_configuration(self, body: bytes) -> Generator[None, None, Configuration]:
        configuration = yield from parse_configuration_steps(body)
        yield from check_configuration_steps(configuration, self.revision)
        if ESCAPED_SURROGATE.search(body):
            _check_text(configuration)
        return configuration

    def _checked_patch(self, body: bytes) -> Generator[None, None, Patch]:
        patch = yield from parse_patch_steps(body)
        index = self._index or ConfigurationIndex(_empty())
        yield from index.check_patch_steps(patch)
        if ESCAPED_SURROGATE.search(body):
            _check_text(index.added_content(patch))
        return patch

    def apply(self, command: Command) -> Result:
        """Carries the command out."""
        result, content = self.judge(command)
        judged, self._judged = self._judged, None
        if content is not None:
            self._take(judged)
            self.taken[judged.digest] = content["Revision"]
            while len(self.taken) > MAX_DIGESTS:
                self.forgotten = self.taken.pop(next(iter(self.taken)))
        return result

    def _take(self, judged: "_Judged") -> None:
        if judged.index is not None:
            self._index = judged.index
            return
        if self._index is None:
            self._index = ConfigurationIndex(_empty())
        self._index.apply_patch(judged.content)

    def encode(self) -> bytes:
        """The whole state, for a snapshot."""
        return b"".join(self.encode_steps())

    def encode_steps(self) -> Iterator[bytes]:
        """The same in steps; what is applied meanwhile is not in it."""
        tree = {
            "configuration": self.configuration,
            "taken": dict(self.taken),
            "forgotten": self.forgotten,
        }
        return json_encode_steps(tree)

    @classmethod
    def decode(cls, data: bytes) -> "ConfigurationState":
        """The state of a snapshot."""
        return run_steps(cls.decoding(data))

    @classmethod
    def decoding(cls, data: bytes) -> Generator[None, None, "ConfigurationState"]:
        """`decode` in steps, between which other work may be done."""
        state, tree = cls(), (yield from json_decode_steps(data))
        state.taken, state.forgotten = tree["taken"], tree["forgotten"]
        if tree["configuration"] is not None:
            state._index = yield from ConfigurationIndex.build_steps(tree["configuration"])
        return state


class _Judged(NamedTuple):
    """What the last call of `judge` has found; the digest also tells on which revision."""

    digest: str
    result: Result
    content: Configuration | Patch | None
    index: ConfigurationIndex | None  # of a whole configuration


def _check_text(content: Mapping[str, Any]) -> None:
    try:
        json.dumps(content, ensure_ascii=False).encode()
    except UnicodeEncodeError as error:
        raise ConfigurationError(ResultCode.UNREADABLE, "body") from error


def _empty() -> Configuration:
    return {"Revision": 0, "Routes": [], "Services": [], "Tenants": []}
