#!/usr/bin/env bash
# Regenerates the Java classes of the peer protocol. The result is committed; the build does not run this script.
set -euo pipefail
cd "$(dirname "$0")/.."
version=4.31.1
mvn -q dependency:copy -Dartifact=com.google.protobuf:protoc:$version:exe:linux-x86_64 -DoutputDirectory=target/protoc
protoc=$(ls target/protoc/protoc-*.exe)
chmod +x "$protoc"
"$protoc" --proto_path=gaugehollow/src/main/proto --java_out=lite:gaugehollow/src/main/generated peer.proto
