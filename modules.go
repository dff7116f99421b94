//go:build modules

// Package modules keeps required modules in go.mod while their users are being written.
package modules

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cockroachdb/errors"
	_ "github.com/coder/websocket"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/jackc/pgx/v5"
	_ "github.com/jackc/pgx/v5/pgproto3"
	_ "github.com/jackc/pgx/v5/pgxpool"
	_ "github.com/jackc/pgx/v5/stdlib"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/rs/zerolog"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "gopkg.in/ini.v1"
	_ "gotest.tools/v3/assert"
	_ "gotest.tools/v3/golden"
	_ "modernc.org/sqlite"
	_ "pgregory.net/rapid"
)
