#!/usr/bin/env bash
# A play of part one that is no case any more (REPORT-2.md, shutdown.txt). It exits as the scripts of the cases do.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/honeyplank ] && [ -x bin/standin2 ] || exit 2
TROUBLE=${TROUBLE:-1} exec bin/standin2 stall-shutdown review/stall/record.txt
