#!/usr/bin/env bash
# Generates the Go code of the protobuf definitions. The result is committed, so that a build needs no generator.
# Requires protoc (Debian package protobuf-compiler) and, in bin/, the generators from tools/go.mod.
set -euo pipefail
cd "$(dirname "$0")/.."
export PATH="$PWD/bin:$PATH"
for file in core/proto/wire/wirepb/wire.proto core/proto/etcdpb/kv.proto; do
  protoc -I . --go_out=. --go_opt=module=monsoonstep --go-grpc_out=. --go-grpc_opt=module=monsoonstep "$file"
done
