#!/usr/bin/env bash
# Checks format and lint rules; prints what is wrong and exits non-zero if anything is.
set -euo pipefail
cd "$(dirname "$0")/.."
files=$(git ls-files --cached --others --exclude-standard '*.go' ':!*.pb.go')
bad=0
report() {
  if [ -n "$2" ]; then
    printf '%s:\n%s\n' "$1" "$2"
    bad=1
  fi
}
report "goimports would change" "$(bin/goimports -local monsoonstep -l $files)"
report "gofumpt would change" "$(bin/gofumpt -l $files)"
report "goroutines started by a bare go statement" "$(grep -nE '^\s*go (func|[a-zA-Z_.]+\()' $files || true)"
report "tags on types in core" "$(grep -nE '`(json|yaml|xml):' $(printf '%s\n' $files | grep '^core/' | grep -v '^core/proto/wire/') || true)"
go vet ./... || bad=1
bin/staticcheck ./... || bad=1
bin/revive -config tools/revive.toml -set_exit_status ./core/... ./io/... ./cmd/... ./platform/... ./test/... || bad=1
exit $bad
