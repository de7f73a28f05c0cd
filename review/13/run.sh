#!/usr/bin/env bash
# Plays the case after the build of the deploy file and review/build-3.sh. Exits with 1 if the rule was broken, 0 if
# it held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/release/tealturn-vm ] || [ ! -x target/review-3/standin ]; then
  echo "build first: the command of deploy/system.toml, then review/build-3.sh" >&2
  exit 2
fi
target/review-3/standin play alike review/13/record.txt
code=$?
case $code in
  0 | 1) exit "$code" ;;
  *) exit 2 ;;
esac
