#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: Python files that use the standard
# library only. Nothing is installed and nothing is left behind.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PY'
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit('Python 3.11 or later is needed')
for path in (Path('review/standins_2.py'), Path('review/site_2.py')):
    compile(path.read_text(), str(path), 'exec')
PY
