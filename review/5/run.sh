#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. With TROUBLE=0 the same
# without the disruption.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
[ -x target/plantaingap-cell ] && [ -x target/review/stand_in ] || exit 2
folder="$(mktemp -d)" || exit 2
trap 'rm -rf "$folder"' EXIT
target/review/stand_in queue "$here/record.txt" "$folder"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
