#!/usr/bin/env bash
# Copies the files of the operators' kit that a bench needs next to the sites, and runs the bench on one of the sites:
#
#   deploy/sites/play.sh KIT BENCH SITE [ARGUMENT...]
#   deploy/sites/play.sh ../given/kit/more/mass/other ../given/kit/more/mass/bin/lbreal night-post score --panel brink --seed 1 --why "..."
#
# KIT is a directory with wire.json and unlock.txt, which are not part of the repository. SITE is the name of a site in this directory,
# without .toml. real.json holds the protocol's names for these sites.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
if [ $# -lt 4 ]; then
	sed -n '2,8s/^# \{0,1\}//p' "$0" >&2
	exit 1
fi
kit=$1 bench=$2 site=$here/$3.toml
shift 3
missing=0
for f in "$kit/wire.json" "$kit/unlock.txt" "$bench" "$site"; do
	[ -f "$f" ] || { echo "$f: no such file" >&2; missing=1; }
done
[ $missing = 0 ] || exit 1
install -m 644 "$kit/wire.json" "$kit/unlock.txt" "$here/"
bench=$(cd "$(dirname "$bench")" && pwd)/$(basename "$bench")
cd "$here/../.."
case $1 in
score) shift; exec "$bench" score "$site" "$@" ;;
*) exec "$bench" "$site" "$@" ;;
esac
