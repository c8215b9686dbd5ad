#!/bin/sh
# Plays the case settings-move. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption. Build first: the deploy file's build, then review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
standin=$root/review/standin-2/bin/standin-2
run=$(sed -n 's/^run = "\(.*\)".*$/\1/p' "$root/deploy/balancer.toml")
[ -x "$standin" ] && [ -x "$root/bin/stoatdale" ] && [ -n "$run" ] || exit 2
folder=$(mktemp -d) || exit 2
TMPDIR=$folder "$standin" -root "$root" -run "$run" -record "$here/record.txt" -trouble "${TROUBLE:-1}" settings-move
status=$?
rm -rf "$folder"
[ "$status" -le 2 ] || status=2
exit "$status"
