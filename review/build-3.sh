#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start: one program, from the
# standard library alone.
set -eu
top=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$top/target/review-3"
cd "$top/review/_three/standin"
go build -buildvcs=false -o "$top/target/review-3/rig" .
