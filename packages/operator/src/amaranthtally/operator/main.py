"""The ``amaranthtally`` command."""

import sys

from cyclopts import App

from amaranthtally.operator import experiment, replay
from amaranthtally.operator.endpoint_explanation import add_explain_endpoint_command
from amaranthtally.operator.explain import add_explain_command
from amaranthtally.operator.fleet_commands import add_fleet_commands
from amaranthtally.operator.request_command import add_request_command
from amaranthtally.operator.route_explanation import add_explain_route_command
from amaranthtally.operator.settings_commands import app as settings_app
from amaranthtally.operator.stages_command import add_stages_command

__all__ = ["app", "main"]

HELP = """\
Operate an amaranthtally deployment.

Exit codes: 0 done, 1 refused, 2 wrong command line, 3 another operator's change
came first, 4 entry or platform unreachable, 5 outcome unknown, 6 'diff' found
differences. With 1, 3 and 4 nothing was changed.
"""

app = App(name="amaranthtally", help=HELP, result_action="return_value")
app.command(settings_app)
add_fleet_commands(app)
add_request_command(app)
add_explain_command(app)
add_explain_route_command(app)
add_explain_endpoint_command(app)
add_stages_command(app)
replay.register(app)
experiment.register(app)


def main() -> None:
    """Run a command and exit with its code."""
    sys.exit(app())


if __name__ == "__main__":
    main()
