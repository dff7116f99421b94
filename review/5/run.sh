#!/usr/bin/env bash
exec "$(dirname "$0")/../standin/case.sh" line-feed "$(cd "$(dirname "$0")" && pwd)"
