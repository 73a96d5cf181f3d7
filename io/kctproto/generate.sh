#!/bin/sh
# Regenerates the code of all messages; needs protoc on the path and takes protoc-gen-go from tools/go.mod.
set -eu
plugin=$(go tool -modfile=../../tools/go.mod -n protoc-gen-go)
protoc --plugin=protoc-gen-go="$plugin" --go_out=. --go_opt=paths=source_relative peer.proto feed.proto relay.proto
