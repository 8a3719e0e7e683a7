#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases. The program itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/_cases/standin
