#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out. Run target/deps' build first.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review exec python3 "$here/case.py"
