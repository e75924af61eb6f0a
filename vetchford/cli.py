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
from functools import partial

from docopt import DocoptExit, docopt

import vetchford
from vetchford.errors import MalformedInputError
from vetchford.runtime import log_setup
from vetchford.server import platform_config, server_process, signals


def main(argv: list[str] | None = None) -> int:
    given = sys.argv[1:] if argv is None else argv
    if given[:1] == ["fleet"]:
        from vetchford.fleet.commands import command_line  # a server does without it

        return command_line.main(given[1:])
    try:
        asked = docopt(__doc__, given, version=vetchford.__version__)
    except DocoptExit:
        return complain("wrong usage; `vetchford --help` tells how")
    asked["--with"] = list(dict.fromkeys(asked["--with"]))  # the options' library repeats a repeated option
    for option, known in (("--log-level", tuple(log_setup.LEVELS)), ("--log-form", log_setup.FORMATS)):
        if asked[option] not in known:
            return complain(f"{option} must be one of {', '.join(known)}")
    if asked["version"]:
        print(vetchford.__version__)
        return 0
    if asked["--schema"]:
        from vetchford.configuration import isolated_reader  # only here, and where such files are read

        print(isolated_reader.schema(), end="")
        return 0
    if asked["agent"]:
        return run_agent(asked)
    load = partial(platform_config.load, path=asked["--config"], ours=asked["--with"])
    try:
        if asked["check"] and asked["--with"] and not (asked["--config"] or os.environ.get("ROUTER_CONFIG")):
            from vetchford.configuration import isolated_reader

            isolated_reader.read(asked["--with"], None)
            print(f"{', '.join(asked['--with'])}: good")
            return 0
        told = load()
    except MalformedInputError as problem:
        return complain(str(problem))
    if asked["check"]:
        print(f"{told['name']}: configuration is good")
        return 0
    if asked["settings"]:
        print(json.dumps(platform_config.summary(told), indent=2))
        return 0
    signals.block_signals()
    writer = log_setup.start(asked["--log-level"], asked["--log-form"])
    try:
        return server_process.serve(told, load, writer.end_by)
    finally:
        writer.close()


def run_agent(asked: dict) -> int:
    from vetchford.configuration import isolated_reader  # a server does without both
    from vetchford.fleet import agent_main

    try:
        told = isolated_reader.read(asked["--with"], None)["agent"] if asked["--with"] else None
    except MalformedInputError as problem:
        return complain(str(problem))
    if told is None:
        return complain("no file given by --with has the key 'agent'")
    writer = log_setup.start(asked["--log-level"], asked["--log-form"])
    try:
        return agent_main.serve(told)
    finally:
        writer.close()


def complain(text: str) -> int:
    for line in text.splitlines():
        print(f"vetchford: {line}", file=sys.stderr)
    return 2
