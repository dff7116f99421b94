#!/usr/bin/env bash
# Busy sessions at a VM that gets SIGTERM (LOST); see claim.txt.
# Needs the build line of the deploy file and review/build.sh. TROUBLE=0 leaves out the SIGTERM.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$here/../standin/case.sh" busy-session "$here" "${TROUBLE:-1}"
