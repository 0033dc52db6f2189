#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. The node program is built by the line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -o target/ ./review/stand2
