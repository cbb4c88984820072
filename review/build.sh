#!/bin/sh
# Builds the stand-ins of all scripts, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standins ./review/standins
