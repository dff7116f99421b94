package logging

import (
	"io"
	"testing"

	"github.com/rs/zerolog"
)

// BenchmarkRefusedStatement measures the line of a refused statement, from its fields to
// the output.
func BenchmarkRefusedStatement(b *testing.B) {
	log := zerolog.New(pairsWriter{io.Discard}).With().Timestamp().Str("vm", "front-dfw-irving-1").Logger()
	b.ReportAllocs()
	for b.Loop() {
		log.Warn().Str("error", `RW1008: organisation "acme" has used its rate and burst`).Str("request", "9be5c465781e6aa1").
			Str("database", "orders").Str("organisation", "acme").Str("kind", "begin").Uint64("version", 2).
			Float64("proof_age_ms", 966.233838).Float64("took_ms", 50.9).Int("attempts", 1).Str("group", "g1").Str("upstream", "i-1").
			Bool("primary", true).Str("via", "front-dfw-irving-2").Str("reason", "none").Str("code", "RW1008").Msg("statement refused")
	}
}
