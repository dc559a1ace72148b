#!/bin/sh
# Installs the Debian packages needed by the build, the tests and the checks.
set -eu
packages="gcc g++ make cmake ninja-build pkg-config clang clang-format clang-tidy
	libclang-rt-14-dev libcoap3-dev libcoap3-bin liburcu-dev
	libprotobuf-c-dev protobuf-c-compiler libinih-dev libmicrohttpd-dev
	libcurl4-openssl-dev libcsv-dev libxxhash-dev libsodium-dev
	libjansson-dev libevent-dev libgtest-dev librapidcheck-dev curl procps"
missing=""
for package in $packages; do
	dpkg-query -W -f '${Status}' "$package" 2>/dev/null |
		grep -q "install ok installed" || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing
