"""The ``amaranthtally`` binary."""

import sys

from cyclopts import App

from amaranthtally.operator import replay

__all__ = ["app", "main"]

app = App(name="amaranthtally", help="Operate an amaranthtally deployment.")
replay.register(app)


def main() -> None:
    """Run a command and exit with its code."""
    sys.exit(app())


if __name__ == "__main__":
    main()
