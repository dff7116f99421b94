package logging

import (
	"bytes"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/virtualtime"
)

// blockedWriter is an output that takes nothing until it is opened.
type blockedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	out  bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}

// Guards against a full standard output that holds up requests, and against lines
// that vanish without a count.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		w := &blockedWriter{open: make(chan struct{})}
		log, sink, err := NewBounded(w, "info")
		assert.NilError(t, err)
		defer sink.Close()
		started := time.Now()
		const lines = 5 * queueLines
		for range lines {
			log.Info().Msg("statement answered")
		}
		assert.Equal(t, time.Since(started), time.Duration(0))
		close(w.open)
		sink.Close()
		text := w.out.String()
		counted := strings.Count(text, ` event="statement answered"`)
		for _, match := range regexp.MustCompile(`count=(\d+)`).FindAllStringSubmatch(text, -1) {
			n, err := strconv.Atoi(match[1])
			assert.NilError(t, err)
			counted += n
		}
		assert.Equal(t, counted, lines, text)
	})
}

// Guards against an unbounded volume, and against lost dependencies and refusals
// that vanish among the lines of requests.
func TestVolumeIsBoundedAndFailuresGoFirst(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log, sink, err := NewBounded(&out, "info")
		assert.NilError(t, err)
		for range 200 {
			log.Info().Msg("statement answered")
		}
		for range 200 {
			log.Warn().Str("request", "r1").Msg("statement refused")
		}
		log.Warn().Str("dependency", "store").Msg("dependency lost")
		time.Sleep(1500 * time.Millisecond)
		synctest.Wait()
		sink.Close()
		text := out.String()
		assert.Equal(t, strings.Count(text, ` event="statement answered"`), perSecond[success])
		assert.Equal(t, strings.Count(text, ` event="statement refused"`), perSecond[failure])
		assert.Equal(t, strings.Count(text, ` event="dependency lost"`), 1)
		assert.Assert(t, strings.Contains(text, `count=180 suppressed_event="statement answered"`), text)
	})
}

// Guards against values of other types that are printed as lists of bytes.
func TestValuesKeepTheirForm(t *testing.T) {
	var out bytes.Buffer
	log, err := New(&out, "info")
	assert.NilError(t, err)
	log.Info().Bool("alive", true).Dur("age", 1500*time.Microsecond).Msg("peer changed")
	assert.Assert(t, strings.Contains(out.String(), `event="peer changed" age=1.5 alive=true`), out.String())
}
