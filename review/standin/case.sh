#!/usr/bin/env bash
# Usage: case.sh NAME FOLDER. Plays a case and writes record.txt to the folder. Exit status: 1 if
# the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# disruption. Both builds must have been made before.
set -u
cd "$(dirname "$0")/../.." || exit 2
program=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml | head -n 1)
if [ ! -x target/review-standin ] || [ ! -x "${program%% *}" ]; then
	echo "run the build line of the deploy file and review/build.sh first" >&2
	exit 2
fi
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
target/review-standin -case "$1" -trouble="$trouble" -record "$2/record.txt" -directory "$folder" -program "$program"
status=$?
[ $status -le 2 ] || status=2
exit $status
