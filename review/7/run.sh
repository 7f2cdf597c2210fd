#!/usr/bin/env bash
# Exits with 1 if less than half of the streams that were taken up went on, 0 if not, 2 if the case could not run. TROUBLE=0 leaves out the freeze.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-stand-2 ] && [ -x target/lycheevale ] || exit 2
exec target/review-stand-2 takeup review/7/record.txt
