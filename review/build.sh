#!/bin/sh
# The stand-ins of the scripts are plain Python of the standard library, in
# review/stage.py; nothing is compiled. This checks that they load.
cd "$(dirname "$0")/.." || exit 1
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review exec python3 -c 'import stage'
