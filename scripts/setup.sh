#!/usr/bin/env bash
# Installs the build dependencies besides Rust: cmake, make and a C compiler for the nng library, and
# python3 for the scripts that choose free ports.
set -eu
missing=()
command -v cmake >/dev/null || missing+=(cmake)
command -v cc >/dev/null || missing+=(gcc)
command -v make >/dev/null || missing+=(make)
command -v python3 >/dev/null || missing+=(python3)
[ "${#missing[@]}" = 0 ] && exit 0
echo "installing ${missing[*]}"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}"
