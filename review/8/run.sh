#!/bin/sh
# Plays this case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/rig-2/bin/cases ] && [ -x bin/birchfork ] || { echo "build first: the deploy file's build, review/build-2.sh" >&2; exit 2; }
exec review/rig-2/bin/cases silent-start review/8
