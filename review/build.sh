#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. They use the standard
# library only, so that no network is needed.
set -eu
cd "$(dirname "$0")/standins"
GOWORK=off GOFLAGS=-mod=readonly go build -o bin/standins .
