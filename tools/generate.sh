#!/usr/bin/env bash
# Regenerates the committed protobuf sources; needs protobuf-compiler.
set -euo pipefail
cd "$(dirname "$0")/../basilstream/protocol"
protoc --proto_path=proto --cpp_out=generated proto/*.proto
