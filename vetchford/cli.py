"""vetchford: admission and scheduling for a server behind other people's balancers.

Usage:
  vetchford [options] [--with FILE]... serve
  vetchford [options] [--with FILE]... check
  vetchford [options] [--with FILE]... settings [--schema]
  vetchford [options] [--with FILE]... agent
  vetchford fleet [ARGUMENT...]
  vetchford [options] version
  vetchford (-h | --help | --version)

Commands:
  serve     run one server until SIGTERM or SIGINT, then answer all that is open and leave;
            on SIGHUP it reads the configuration anew and goes over to the addresses given there
  check     read the configuration as `serve` would and name all keys at fault; starts nothing.
            Without a configuration file it checks the files given by --with alone
  settings  print what was understood of the configuration, as JSON;
            with --schema, what a file given by --with may hold, in its own form
  agent     own the instances that the files given by --with name, until SIGTERM; they go on without it
  fleet     ask agents to start, stop, restart, roll and show instances; `vetchford fleet --help`
  version   print the version

Options:
  --config FILE      configuration file; else the environment's ROUTER_CONFIG names it
  --with FILE        settings of our own, such as deploy/pools.vet; several files are unified
  --log-level LEVEL  debug, info, warning or error [default: info]
  --log-form FORM    text (key=value) or json, a line each on standard error [default: text]
  -h --help          this text
  --version          the version, as `version` prints it

Exit status: 0 done, 1 a failure at run time (an address in use, say), 2 wrong usage or configuration.

Examples:
  vetchford check --config config.json
  vetchford check --config config.json --with deploy/pools.vet --with site.vet
  ROUTER_CONFIG=/run/balancer/config.json vetchford serve --log-form json
"""

import json
import os
import sys
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from docopt import DocoptExit, docopt

import vetchford
from vetchford.errors import MalformedInputError, VetchfordError
from vetchford.protocol.platform_configuration import ServerConfiguration
from vetchford.runtime import log_setup
from vetchford.server import platform_config, server_process, signals

EXIT_SUCCESS = 0
EXIT_WRONG_USAGE = 2  # or invalid files; `serve` and `agent` themselves return 1 for a failure at run time


@dataclass(frozen=True)
class Options:
    """The command and the options of the command line."""

    command: str
    config_path: str | None
    """None if the environment gives the path of the configuration file."""
    settings_paths: list[str]
    """Settings files given by --with, without duplicates."""
    log_level: str
    log_form: str
    schema: bool


class UsageError(VetchfordError):
    """The command line or a file given there is invalid; the text is shown to the user."""


def main(argv: list[str] | None = None) -> int:
    """Run one command and return its exit status; `argv` does not include the program name."""
    arguments = sys.argv[1:] if argv is None else argv
    if arguments[:1] == ["fleet"]:
        from vetchford.fleet.commands import command_line  # not imported by servers

        return command_line.main(arguments[1:])
    try:
        options = _parse(arguments)
        return COMMANDS[options.command](options)
    except UsageError as error:
        for line in str(error).splitlines():
            print(f"vetchford: {line}", file=sys.stderr)
        return EXIT_WRONG_USAGE


def _parse(arguments: list[str]) -> Options:
    try:
        parsed = docopt(__doc__, arguments, version=vetchford.__version__)
    except DocoptExit:
        raise UsageError("wrong usage; see `vetchford --help`") from None
    choices = {"--log-level": tuple(log_setup.LEVELS), "--log-form": log_setup.FORMATS}
    for option, allowed in choices.items():
        if parsed[option] not in allowed:
            raise UsageError(f"{option} must be one of {', '.join(allowed)}")
    return Options(
        command=next(name for name in COMMANDS if parsed[name]),  # docopt ensures that there is exactly one
        config_path=parsed["--config"],
        settings_paths=list(dict.fromkeys(parsed["--with"])),  # docopt lists repeated options several times
        log_level=parsed["--log-level"],
        log_form=parsed["--log-form"],
        schema=parsed["--schema"],
    )


def _print_version(options: Options) -> int:
    print(vetchford.__version__)
    return EXIT_SUCCESS


def _print_schema() -> int:
    from vetchford.configuration import isolated_reader  # not imported unless settings files are read

    print(isolated_reader.schema(), end="")
    return EXIT_SUCCESS


def _print_settings(options: Options) -> int:
    if options.schema:
        return _print_schema()
    configuration = _load(options)
    print(json.dumps(configuration.summary(), indent=2))
    return EXIT_SUCCESS


def _check(options: Options) -> int:
    settings_paths = options.settings_paths
    if settings_paths and not (options.config_path or os.environ.get(platform_config.FILE_VARIABLE)):
        _read_settings(settings_paths)
        print(f"{', '.join(settings_paths)}: good")
        return EXIT_SUCCESS
    configuration = _load(options)
    print(f"{configuration.name}: configuration is good")
    return EXIT_SUCCESS


def _serve(options: Options) -> int:
    configuration = _load(options)
    signals.block_signals()
    writer = log_setup.start(options.log_level, options.log_form)
    try:
        return server_process.serve(configuration, _configuration_loader(options), writer.end_by)
    finally:
        writer.close()


def _run_agent(options: Options) -> int:
    from vetchford.fleet import agent_main  # not imported by servers

    settings = _read_settings(options.settings_paths)["agent"] if options.settings_paths else None
    if settings is None:
        raise UsageError("no file given by --with has the key 'agent'")
    writer = log_setup.start(options.log_level, options.log_form)
    try:
        return agent_main.serve(settings)
    finally:
        writer.close()


def _configuration_loader(options: Options) -> Callable[[], ServerConfiguration]:
    """Return a function that reads the configuration and settings files, also for reloads."""
    return partial(platform_config.load, path=options.config_path, settings_paths=options.settings_paths)


def _load(options: Options) -> ServerConfiguration:
    """Return the checked configuration.

    Raises:
        UsageError: Files are invalid; the text has a line for each problem.
    """
    try:
        return _configuration_loader(options)()
    except MalformedInputError as error:
        raise UsageError(str(error)) from None


def _read_settings(paths: list[str]) -> dict[str, Any]:
    """Return the checked settings of files given by --with.

    Raises:
        UsageError: Files are invalid; the text has a line for each problem.
    """
    from vetchford.configuration import isolated_reader  # not imported unless settings files are read

    try:
        return isolated_reader.read(paths, None)
    except MalformedInputError as error:
        raise UsageError(str(error)) from None


COMMANDS: dict[str, Callable[[Options], int]] = {
    "version": _print_version,
    "settings": _print_settings,
    "agent": _run_agent,
    "check": _check,
    "serve": _serve,
}
