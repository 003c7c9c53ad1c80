#!/bin/sh
# Builds the stand-ins of the second review into target/, after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -o target/ ./review/standins-2
