#!/usr/bin/env bash
# Builds the stand-ins of the third review.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/standin3
