#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
folder=$(mktemp -d) || exit 2
"$root/target/review/stale-key" "$root/target/release/barleypin-platform" "$folder" "$here/record.txt"
code=$?
rm -rf "$folder"
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
