#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. The node program is built by the line `build` of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -o review/bin/ ./review/stand
