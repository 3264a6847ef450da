#!/usr/bin/env bash
# A play of part one that is no case (REPORT.md): exits as the scripts of the cases do, and writes late-record.txt.
cd "$(dirname "$0")/.." || exit 2
[ -x bin/honeyplank ] && [ -x bin/standin ] || exit 2
exec bin/standin late review/late-record.txt
