"""What both programs of the router fleet share: settings, signals, the loop, shutdown, counters."""

import gc
import os
import signal
import sys
from collections.abc import Callable, Mapping
from pathlib import Path
from time import monotonic_ns

from . import early, event_sink
from .configuration.codes import ResultCode, SettingsError
from .configuration.process import ProcessSettings, parse_settings
from .configuration.required_settings import missing_settings
from .errors import HopsailError
from .event_log import get_logger
from .membership.identity import Identity
from .membership.node import Membership, MembershipSettings
from .net.counters import Counters
from .net.loop import Loop, Timer

state_log = get_logger("state")
settings_log = get_logger("settings")

SETTINGS_VARIABLE = "HOPSAIL_CONFIG"
FAULTY_SETTINGS = 2  # exit status
FLEET = "hopsail-1"  # own protocol's name and version: others are dropped
MILLISECOND = 1_000_000
COUNTERS_INTERVAL_MS = 10_000
SETTINGS_POLL_MS = 2_000
COLLECTOR_THRESHOLDS = (50_000, 20, 50)  # large views cost the cyclic collector more than it finds in them
FAILED_START = 1  # exit status: an address is in use, or the disk can't be read


def read_settings() -> ProcessSettings:
    """The settings of this process, from the file that the environment names.

    Raises:
        SettingsError: a line or a value of the file is wrong.
        OSError: the file can't be read.
        KeyError: the environment names no file.
    """
    try:
        text = Path(os.environ[SETTINGS_VARIABLE]).read_text(encoding="utf-8")
    except UnicodeDecodeError as error:
        raise SettingsError(ResultCode.SETTING_NOT_A_LINE, f"byte {error.start}") from error
    return parse_settings(text)


class StartError(HopsailError):
    """The program cannot start, for a reason that is not the settings'."""


class Program:
    """A process of the fleet. Subclasses start their servers in `start` and end in `stop`.

    `started_at` is the process's start by the loop's clock (ns).
    """

    needed_settings: Mapping[str, str] = {}  # fields of the settings that must be there, and their keys

    def __init__(self, settings: ProcessSettings) -> None:
        """Makes the loop and takes over the signals."""
        self.settings = settings
        self.loop = Loop()
        self.started_at = self.loop.now()  # ns; what ran here before had ended by then
        self.counters = Counters(settings.node_name)
        self.stopping = False
        self.settings_changed_at = _settings_changed_at()
        self.loop.on_signal(signal.SIGTERM, self.terminate)
        self.loop.on_signal(signal.SIGINT, self.terminate)
        self.loop.on_signal(signal.SIGHUP, self._reload)
        self.loop.on_signal(signal.SIGUSR1, self.show_counters)

    def show_regularly(self) -> None:
        """Prints the counters from time to time: they are the first thing to look at."""
        self.after(COUNTERS_INTERVAL_MS, self.show_regularly)
        self.show_counters("regular")

    def watch_settings(self) -> None:
        """Takes over a settings file that has changed, with or without a signal."""
        self.after(SETTINGS_POLL_MS, self.watch_settings)
        if _settings_changed_at() != self.settings_changed_at:
            self._reload()

    def start(self) -> None:
        """Begins to serve."""

    def stop(self) -> None:
        """The process is to end in order; ends in a call of `finish`."""
        self.finish()

    @property
    def seeds(self) -> list[tuple[str, int]]:
        """Where the seeds listen for other processes: at the same port as all."""
        return [(seed.host, self.settings.port_first) for seed in self.settings.seeds]

    def join(self, role: str) -> Membership:
        """Becomes a member of the system."""
        settings = self.settings
        self.membership = Membership(
            self.loop,
            MembershipSettings(
                identity=Identity(role, settings.zone, settings.node_name),
                address=(settings.ip, settings.port_first),
                fleet=FLEET,
                seeds=self.seeds,
                seed=settings.node_name,
                heartbeat_ms=int(settings.heartbeat_ms),
            ),
        )
        return self.membership

    def apply_settings(self, settings: ProcessSettings) -> None:
        """Applies settings that have changed: the seeds; all else needs a new start."""
        self.membership.replace_seeds(self.seeds)

    def terminate(self) -> None:
        """Begins the shutdown, once."""
        if not self.stopping:
            self.stopping = True
            state_log.info("stopping")
            self.stop()

    def finish(self) -> None:
        """Ends the process."""
        self.show_counters("end")
        self.loop.stop()

    def show_counters(self, why: str = "asked") -> None:
        """Logs the counters; `why` is "regular", "asked" or "end"."""
        self.counters.print(why, **self.figures())

    def figures(self) -> dict[str, int]:
        """What stands open now, for the counters' line."""
        return {}

    def _reload(self) -> None:
        self.settings_changed_at = _settings_changed_at()
        try:
            settings = read_settings()
        except (SettingsError, OSError) as error:
            settings_log.warning("not taken: %s", error)
            return
        if missing := missing_settings(self.needed_settings, settings):
            settings_log.warning("not taken: %s", missing[0])
            return
        self.settings = settings
        self.apply_settings(settings)

    def after(self, milliseconds: float, act: Callable[[], object]) -> Timer:
        """Calls `act` after so many milliseconds; the timer can be cancelled."""
        return self.loop.at(self.loop.now() + int(milliseconds * MILLISECOND), act)


def _settings_changed_at() -> int:
    """When the settings file was last changed, 0 when that can't be told."""
    try:
        return os.stat(os.environ.get(SETTINGS_VARIABLE, "")).st_mtime_ns
    except OSError:
        return 0


def main(program: type[Program], make: Callable[[ProcessSettings], Program] | None = None) -> None:
    """Runs a program with the settings of its environment; never returns.

    `make` makes the program where it takes more than its settings. Exit status: `FAULTY_SETTINGS` or
    `FAILED_START` after one line on standard error, 0 after a shutdown.
    """
    early.record_signals()
    try:
        settings = read_settings()
    except (SettingsError, OSError, KeyError) as error:
        print(f"hopsail: settings: {error}", file=sys.stderr)
        sys.exit(FAULTY_SETTINGS)
    if missing := missing_settings(program.needed_settings, settings):
        for fault in missing:
            print(f"hopsail: settings: {fault}", file=sys.stderr)
        sys.exit(FAULTY_SETTINGS)
    event_sink.install()
    running = (make or program)(settings)
    running.started_at = running.loop.now() - (monotonic_ns() - early.started_at)
    try:
        running.start()
    except (OSError, StartError) as error:
        print(f"hopsail: cannot start: {error}", file=sys.stderr)
        sys.exit(FAILED_START)
    running.watch_settings()
    gc.freeze()  # what is there now stays for good
    gc.set_threshold(*COLLECTOR_THRESHOLDS)
    running.after(COUNTERS_INTERVAL_MS, running.show_regularly)
    running.loop.run()
    sys.stderr.flush()
    os._exit(0)  # the disk's thread may hang in a call; all that must be kept is synced
