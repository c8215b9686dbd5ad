#!/usr/bin/env bash
# Plays case 3: see claim.txt. Exit status 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 plays it
# without the disruption. SEED is what the stand-ins draw from.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if ! [ -x bin/stoatdale ] || ! [ -x review/bin/case-3 ]; then
  echo "run the build of deploy/balancer.toml and review/build.sh first" >&2
  exit 2
fi
STOATDALE_RUN=$(sed -n 's/^run = "\(.*\)".*$/\1/p' deploy/balancer.toml)
export STOATDALE_RUN
exec review/bin/case-3 -record "$here/record.txt" -trouble "${TROUBLE:-1}" -seed "${SEED:-1}"
