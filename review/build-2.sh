#!/bin/sh
# Builds the stand-ins that the scripts of review/8 to review/10 start.
cd "$(dirname "$0")/.." || exit 2
go build -o target/review-standin-2 ./review/standin2
