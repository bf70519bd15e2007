#!/bin/sh
# Builds the stand-ins of the scripts: plain Python, which is only compiled.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review standins/__init__.py \
  standins/platform_store.py
