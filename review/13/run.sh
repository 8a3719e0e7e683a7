#!/usr/bin/env bash
# Plays the case "leave"; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/kingcupyard ] && [ -x target/review-3/rig ] || { echo "build the deploy file and review/build-3.sh first"; exit 2; }
exec target/review-3/rig -case "leave" -dir review/13
