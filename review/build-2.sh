#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start: the small new ones, and the project's own.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/bin"
cd "$root"
go build -o bin/ ./cmd/standin
cd "$root/review/stand-2"
GOFLAGS=-mod=mod GOWORK=off go build -o "$root/bin/review-2" .
