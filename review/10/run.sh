#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec env PYTHONPATH=. PYTHONDONTWRITEBYTECODE=1 \
  python3 review/10/case.py "${TROUBLE:-1}"
