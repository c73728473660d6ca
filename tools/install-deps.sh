#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests use, if missing.
set -euo pipefail
packages=(gcc g++ make cmake ninja-build pkg-config clang-format clang-tidy
  libevent-dev libmsgpack-dev libyaml-dev libglib2.0-dev libgtest-dev
  libjansson-dev libsodium-dev libxxhash-dev zlib1g-dev libhttp-parser-dev libcurl4-openssl-dev spin curl)
missing=()
for p in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$p" 2>/dev/null | grep -q 'install ok' \
    || missing+=("$p")
done
if [ ${#missing[@]} -gt 0 ]; then
  sudo=""
  [ "$(id -u)" = 0 ] || sudo=sudo
  $sudo apt-get update -q
  $sudo env DEBIAN_FRONTEND=noninteractive apt-get install -y -q "${missing[@]}"
fi
