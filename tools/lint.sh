#!/usr/bin/env bash
# Checks formatting and lint rules. Prints every violation, and exits with status 1 if there are any.
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
report "not formatted (goimports)" "$(bin/goimports -local monsoonstep -l $files)"
report "not formatted (gofumpt)" "$(bin/gofumpt -l $files)"
report "goroutines started by a go statement instead of package group" "$(grep -nE '^\s*go (func|[a-zA-Z_.]+\()' $files || true)"
report "struct tags in core outside package wire" "$(grep -nE '`(json|yaml|xml):' $(printf '%s\n' $files | grep '^core/' | grep -v '^core/proto/wire/') || true)"
go vet ./... || bad=1
bin/staticcheck ./... || bad=1
bin/revive -config tools/revive.toml -set_exit_status ./core/... ./io/... ./cmd/... ./platform/... ./test/... || bad=1
exit $bad
