#!/bin/bash
# Case 3: see claim.txt. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 plays it without
# the link's drops.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/gateway ] && [ -x bin/sharedid ] || { echo "build first: the deploy file's build, then review/build.sh" >&2; exit 2; }
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
timeout -k 5 115 bin/sharedid --gateway "$PWD/bin/gateway" --dir "$dir" --record review/3/record.txt \
	--trouble="$trouble"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
