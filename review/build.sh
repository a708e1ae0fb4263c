#!/usr/bin/env bash
# Builds the stand-ins of the cases. The daemon is built by the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/rig"
go build -buildvcs=false -o ../../target/review-rig .
