#!/usr/bin/env bash
# Compares the committed generated code with what the schema yields, where the generator is present.
set -euo pipefail
cd "$(dirname "$0")/.."
bin="${TOOLS_BIN:-$PWD/bin}"
if ! command -v protoc >/dev/null || [ ! -x "$bin/protoc-gen-go" ] || [ ! -x "$bin/protoc-gen-connect-go" ]; then
  echo "generated code: no generator here, not compared"
  exit 0
fi
fresh=$(mktemp -d)
trap 'rm -rf "$fresh"' EXIT
./proto/generate.sh "$fresh"
for file in "$fresh"/internal/protocol/wire/*; do
  # The first lines name the version of protoc, which may differ.
  diff <(grep -v '^// 	protoc' "$file") <(grep -v '^// 	protoc' "internal/protocol/wire/$(basename "$file")") \
    || { echo "generated code is out of date: run make generate"; exit 1; }
done
echo "generated code is up to date"
