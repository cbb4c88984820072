#!/usr/bin/env bash
# Generates internal/protocol/wire from the schema. Needs protoc and the plug-ins that "make tools" builds.
set -euo pipefail
cd "$(dirname "$0")/.."
bin="${TOOLS_BIN:-$PWD/bin}"
module=github.com/gooseberryway/gooseberryway
out="${1:-.}"
protoc -I proto \
  --plugin="$bin/protoc-gen-go" --plugin="$bin/protoc-gen-connect-go" \
  --go_out="$out" --go_opt="module=$module" \
  --connect-go_out="$out" --connect-go_opt="module=$module,package_suffix" \
  proto/gooseberryway/v1/*.proto
