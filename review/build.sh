#!/usr/bin/env bash
# Builds the stand-ins of the cases. They need the standard library of Python 3.11 alone,
# so that there is nothing to install; what the cases start of the project itself is made
# by the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
python3 -m compileall -q common 1 2 3
