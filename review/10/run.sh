#!/bin/sh
# Moves a route to another service and back while a replica receives nothing.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/rosemarywall-platform ] && [ -x target/review-standin-2 ] || exit 2
exec target/review-standin-2 -case route-there-and-back -record "$here/record.txt"
