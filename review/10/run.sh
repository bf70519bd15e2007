#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
exec env PYTHONPATH=. PYTHONDONTWRITEBYTECODE=1 python3 review/10/case.py
