"""vetchford fleet: many instances, over one agent or a fleet of agents.

Usage:
  vetchford fleet [options] [--socket PATH]... status [SELECT...]
  vetchford fleet [options] [--socket PATH]... watch [SELECT...]
  vetchford fleet [options] [--socket PATH]... (start | stop | drain | restart) SELECT...
  vetchford fleet [options] [--socket PATH]... roll --to VERSION SELECT...
  vetchford fleet [options] [--socket PATH]... (pause | resume | abort | wait) ID
  vetchford fleet [options] [--socket PATH]... history
  vetchford fleet [options] [--socket PATH]... explain INSTANCE
  vetchford fleet [options] [--socket PATH]... peers
  vetchford fleet [options] [--socket PATH]... (admit | dismiss) AGENT
  vetchford fleet (-h | --help)

SELECT is a name, a pattern such as 'n*', group=NAME or label=NAME; 'all' is every instance. With --across it
is also NAME@AGENT or agent=NAME, and `explain` takes a change's id. `watch`, `peers`, `admit` and `dismiss`
are of a fleet, with or without --across.

Options:
  --socket PATH      an agent's socket; several may be named, and are changed one after the other
  --across           one change over all agents of the fleet; the first named agent that answers takes it
  --by WHO           who admits or dismisses, for the record
  --to VERSION       the version to go to, as the agent's settings name it
  --id ID            the change's own id: the same command sent twice is one change
  --batch N          out at once, at most [default: 1]
  --floor N          of the groups touched, so many serve at all times [default: 0]
  --spacing MS       between two that come up [default: 0]
  --soak MS          of good checks before one counts as done [default: 2000]
  --on-failure WHAT  pause, back (undo all of it) or go_on [default: pause]
  --dry-run          show what would be changed, or why it would be refused
  --no-wait          do not wait for its end
  --patience S       how long to wait for a change [default: 600]
  --json             the answers, as one JSON object

Exit status: 0 all done, 1 failed, 2 wrong usage or refused, 3 partly done, 4 an agent can't be reached.

Examples:
  vetchford fleet --socket run/agent.sock roll --to v2 --batch 2 --floor 10 group=pay
  vetchford fleet --socket run/east.sock --across roll --to v2 --batch 3 --floor 14 'n*@east' agent=west
"""

import sys

from docopt import DocoptExit, docopt

from vetchford.fleet.agent_client import MalformedReplyError
from vetchford.fleet.commands.exit_status import ExitStatus
from vetchford.fleet.commands.options import Command, Options
from vetchford.fleet.commands.output import discard_output, print_error, refuse


def main(argv: list[str]) -> int:
    """Run `vetchford fleet` with these arguments; return the exit status."""
    try:
        options = Options.from_arguments(docopt(__doc__, ["fleet", *argv]))
    except (DocoptExit, ValueError):
        return refuse("wrong usage; see `vetchford fleet --help`")
    if not options.sockets:
        return refuse("--socket is missing: name the socket of at least one agent")
    if options.across and options.command == Command.HISTORY:
        return refuse("--across cannot be used with history: each agent has its own")
    try:
        status = run(options)
        sys.stdout.flush()  # here, not at exit, to report a closed standard output
    except MalformedReplyError as problem:
        print_error(str(problem))
        return ExitStatus.FAILED
    except BrokenPipeError:
        discard_output()
        print_error("standard output was closed before all of it was written")
        return ExitStatus.FAILED
    return status


def run(options: Options) -> ExitStatus:
    """Run one command; return the exit status. Raises MalformedReplyError."""
    if options.is_fleet_command:
        from vetchford.fleet.commands import fleet_commands

        return fleet_commands.run(options)
    from vetchford.fleet.commands import agent_commands

    return agent_commands.run(options)
