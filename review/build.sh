#!/bin/sh
# Builds the stand-ins of all cases. It needs the build command of the deploy file to have run, no network and no
# library beside the language's own.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
GOFLAGS=-mod=mod GOWORK=off go build -C standin -o ../bin/standin .
