#!/bin/sh
# Checks each specification exhaustively, and checks that each of its mutants
# (the names MUTANT_... that it tests) is caught. Prints the states searched.
# Usage: specs/run.sh [specification...]; without arguments all are checked.
set -eu
cd "$(dirname "$0")"
specs=${*:-*.pml}

if ! command -v spin >/dev/null; then
	{ apt-get install -y spin || { apt-get update && apt-get install -y spin; }; } >/dev/null 2>&1 ||
		{ echo "specs: spin is missing and cannot be installed" >&2; exit 1; }
fi

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# search SPECIFICATION [-DMUTANT...]: writes the verifier's report to $work/report.
search() {
	file=$PWD/$1
	shift
	(
		cd "$work"
		rm -f pan pan.* ./*.trail
		spin -a "$@" "$file" >spin.log || { cat spin.log >&2; exit 1; }
		# Generated code; the model has one process, so partial order reduction saves nothing.
		gcc -w -O2 -DSAFETY -DNOREDUCE -DMEMLIM=2000 -o pan pan.c
		./pan -m2000000 >report 2>&1
	)
}

states() { awk '/states, stored/ { print $1; exit }' "$work/report"; }

failed=0
for spec in $specs; do
	name=$(basename "$spec" .pml)
	start=$(date +%s.%N)
	search "$spec"
	seconds=$(date +%s.%N | awk -v start="$start" '{ printf "%.1f", $1 - start }')
	if grep -q 'errors: 0' "$work/report" && ! grep -qE 'max search depth too small|out of memory|reached -DMEMLIM' "$work/report"; then
		echo "$name: $(states) states, no error, $seconds s"
	else
		echo "$name: FAILED"
		cat "$work/report"
		failed=1
	fi
	for mutant in $(grep -o 'MUTANT_[A-Z_]*' "$spec" | sort -u); do
		search "$spec" -DMUTANT "-D$mutant"
		if grep -q 'assertion violated' "$work/report"; then
			echo "$name: $mutant caught after $(states) states"
		else
			echo "$name: $mutant NOT caught"
			failed=1
		fi
	done
done
exit $failed
