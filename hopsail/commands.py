"""The command line of both programs: checks of settings and configurations. Loaded only when asked for.

Exit status: 0 when all is well, 1 when a file has a fault, 2 when the command line itself can't be read or
asks for nothing. Faults go to standard output, one a line, as `FILE: CODE ITEM: MEANING`."""

import importlib.metadata
import sys
import tomllib
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path
from typing import Annotated

import cappa

from .configuration.checker import check_configuration, parse_configuration
from .configuration.codes import ConfigurationError, SettingsError
from .configuration.process import parse_settings
from .configuration.required_settings import REQUIRED_SETTINGS, missing_settings

DISTRIBUTION = "hopsail"
PROJECT_FILE = Path(__file__).resolve().parent.parent / "pyproject.toml"
HELP = "Check files without starting anything."
DESCRIPTION = (
    "Without arguments the program starts, with the settings in the file that HOPSAIL_CONFIG names. "
    "Each fault is told on a line with its result code and its item; the exit status is 1 if there is one, "
    "2 if the command line itself is wrong."
)


# Fields and keys of the settings without which a program can't start, beside those that every process needs.
class ExitStatus(IntEnum):
    """How the command line ends."""

    WELL = 0
    FAULTY_FILE = 1
    FAULTY_COMMAND = 2


@dataclass
class Check:
    """Files to be checked."""

    settings: Annotated[
        Path | None, cappa.Arg(long="--check", value_name="FILE", help="Check a settings file of a process.")
    ] = None
    configuration: Annotated[
        Path | None,
        cappa.Arg(
            long="--check-configuration",
            value_name="FILE",
            help="Check an operator's configuration, as it would be put.",
        ),
    ] = None

    def __call__(self) -> int:
        """Prints what was found; the exit status."""
        if self.settings is None and self.configuration is None:
            print("nothing to check: see --help", file=sys.stderr)
            return ExitStatus.FAULTY_COMMAND
        faults = [
            *_faults(self.settings, _check_settings_file),
            *_faults(self.configuration, _check_configuration_file),
        ]
        for fault in faults:
            print(fault)
        return ExitStatus.FAULTY_FILE if faults else ExitStatus.WELL


def _faults(path: Path | None, check: Callable[[bytes], Iterable[Exception]]) -> Iterator[str]:
    """What is wrong with a file, a line each; nothing of a file that was not named."""
    if path is None:
        return
    try:
        for fault in check(path.read_bytes()):
            yield f"{path}: {fault}"
    except OSError as error:
        yield f"{path}: cannot be read: {error.strerror}"
    except UnicodeDecodeError:
        yield f"{path}: cannot be read: not UTF-8 text"


def _check_settings_file(content: bytes) -> list[SettingsError]:
    try:
        settings = parse_settings(content.decode())
    except SettingsError as error:
        return [error]
    return missing_settings(REQUIRED_SETTINGS.get(program_package(), {}), settings)


def _check_configuration_file(content: bytes) -> list[ConfigurationError]:
    try:
        check_configuration(parse_configuration(content), 0)
    except ConfigurationError as error:
        return [error, *error.others]
    return []


def version() -> str:
    """The version of the project: of this tree, else of the installed distribution."""
    try:
        return str(tomllib.loads(PROJECT_FILE.read_text())["project"]["version"])
    except (OSError, KeyError, tomllib.TOMLDecodeError):
        return importlib.metadata.version(DISTRIBUTION)


def program_package() -> str:
    """The package that was started with `python -m`, the distribution's name when it is another start."""
    specification = getattr(sys.modules["__main__"], "__spec__", None)
    return (specification.parent if specification is not None else "") or DISTRIBUTION


def check_settings(arguments: list[str]) -> None:
    """Runs the command line of checks; ends the process with an exit status of `ExitStatus`."""
    run_command(Check, arguments)


def run_command(options: type[Check], arguments: list[str]) -> None:
    """Runs a command line with these options; ends the process with an exit status of `ExitStatus`."""
    command = cappa.command(name=f"python -m {program_package()}", help=HELP, description=DESCRIPTION)(
        options
    )
    given = cappa.parse(command, argv=arguments, version=version(), completion=False)
    raise SystemExit(given())
