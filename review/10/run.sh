#!/bin/sh
# Gives the key of a requester with an open transaction to another tenant.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/rosemarywall-platform ] && [ -x target/review-standin-2 ] || exit 2
exec target/review-standin-2 -case key-of-another-tenant -record "$here/record.txt"
