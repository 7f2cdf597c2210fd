#!/usr/bin/env bash
# Exits with 1 if a request that crashes workers reached them in more retries than allowed, 0 if not, 2 if the case could not run. With TROUBLE=0 its clients do not leave.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-stand-2 ] && [ -x target/lycheevale ] || exit 2
exec target/review-stand-2 deadly review/10/record.txt
