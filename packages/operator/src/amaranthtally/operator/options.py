"""Arguments and options shared by several commands."""

from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

__all__ = ["FIRM", "DataCentre", "Host", "KeyName", "Limit", "Scope", "SettingsFile"]

FIRM = "firm"

KeyName = Annotated[str, Parameter(help="Name of a key; see 'settings keys'.")]
Scope = Annotated[
    str,
    Parameter(
        help="firm, region:NAME, account:NAME, pipeline:NAME, or several joined by /."
    ),
]
Limit = Annotated[int, Parameter(help="Maximum number of changes to print.")]
DataCentre = Annotated[str, Parameter(help="Name of a data centre.")]
Host = Annotated[str, Parameter(help="Name of a host; see 'endpoints'.")]
SettingsFile = Annotated[
    Path, Parameter(help='A table for each scope: ["pipeline:NAME"], KEY = VALUE.')
]
