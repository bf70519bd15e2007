#!/bin/sh
# Builds the stand-ins of cases 11 to 15. They are Python: compiling shows that
# they can be read by this Python, and importing that what they need is there.
cd "$(dirname "$0")/.." || exit 2
python3 -m compileall -q standins review/third review/1[1-5] || exit 1
PYTHONPATH=target/deps:.:review/third python3 -c '
import link
import rig
import review.third.cut_platform
import standins.platform_serve
'
