#!/usr/bin/env bash
# Runs the case; see claim.txt. Build first: the build of the deploy file, then review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
exec timeout 115 target/review-2/standins withdrawn review/7
