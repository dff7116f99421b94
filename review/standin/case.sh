#!/usr/bin/env bash
# Usage: case.sh NAME FOLDER [TROUBLE]. Plays a case and writes record.txt to the folder. With
# TROUBLE 0 it leaves out the disruption; without the argument the variable TROUBLE counts.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
folder=$(cd "$2" && pwd) || exit 2
trouble=true
[ "${3:-${TROUBLE:-1}}" = 0 ] && trouble=false
cd "$(dirname "$0")/../.." || exit 2
program=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml | head -n 1)
if [ ! -x target/review-standin ] || [ ! -x "${program%% *}" ]; then
	echo "run the build line of the deploy file and review/build.sh first" >&2
	exit 2
fi
exec target/review-standin -case "$1" -trouble="$trouble" -record "$folder/record.txt" -program "$program"
