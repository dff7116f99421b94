package logging

import (
	"bufio"
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// queueLines is the number of lines of each class that wait for the output.
	queueLines = 512
	// ordinaryPerSecond and urgentPerSecond bound the lines written a second. Lines at
	// warn and above are urgent. 100 lines take about 1 ms of processor time.
	ordinaryPerSecond = 40
	urgentPerSecond   = 60
	// bufferBytes joins the lines of a burst into few writes.
	bufferBytes = 8 << 10
	// summaryEvery is the time between lines that count what was suppressed.
	summaryEvery = time.Second
)

// Bounded is an output that never blocks the process: lines that do not fit are
// counted. Urgent lines are kept before ordinary ones. It implements
// zerolog.LevelWriter.
type Bounded struct {
	out              pairsWriter
	buffer           *bufio.Writer // flushed when no line waits
	ordinary, urgent chan []byte
	overflow         atomic.Int64
	suppressed       map[string]int // by event; owned by run
	stop             chan struct{}
	stopOnce         sync.Once
	done             sync.WaitGroup
}

// NewBounded returns a logger over a Bounded output that writes to out. Close
// writes what waits.
func NewBounded(out io.Writer, level string) (zerolog.Logger, *Bounded, error) {
	buffer := bufio.NewWriterSize(out, bufferBytes)
	b := &Bounded{
		out: pairsWriter{buffer}, buffer: buffer, ordinary: make(chan []byte, queueLines), urgent: make(chan []byte, queueLines),
		suppressed: map[string]int{}, stop: make(chan struct{}),
	}
	log, err := newLogger(b, level)
	if err == nil {
		b.done.Go(b.run)
	}
	return log, b, err
}

// Write implements io.Writer.
func (b *Bounded) Write(line []byte) (int, error) { return b.WriteLevel(zerolog.InfoLevel, line) }

// WriteLevel implements zerolog.LevelWriter. It never blocks.
func (b *Bounded) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	queue := b.ordinary
	if level >= zerolog.WarnLevel {
		queue = b.urgent
	}
	select {
	case queue <- bytes.Clone(line):
	default:
		b.overflow.Add(1)
	}
	return len(line), nil
}

// Overflow returns the number of lines that found the queue full.
func (b *Bounded) Overflow() int64 { return b.overflow.Load() }

// Close writes the lines that wait and ends the output.
func (b *Bounded) Close() {
	b.stopOnce.Do(func() { close(b.stop) })
	b.done.Wait()
}

// run writes lines within the budgets of each second.
func (b *Bounded) run() {
	ticker := time.NewTicker(summaryEvery)
	defer ticker.Stop()
	ordinary, urgent := ordinaryPerSecond, urgentPerSecond
	for {
		select {
		case line := <-b.urgent:
			b.write(line, &urgent)
			continue
		default:
		}
		if len(b.ordinary) == 0 {
			_ = b.buffer.Flush() // see write
		}
		select {
		case line := <-b.urgent:
			b.write(line, &urgent)
		case line := <-b.ordinary:
			b.write(line, &ordinary)
		case <-ticker.C:
			ordinary, urgent = ordinaryPerSecond, urgentPerSecond
			b.summarise()
		case <-b.stop:
			b.drain()
			return
		}
	}
}

func (b *Bounded) drain() {
	for {
		budget := 1
		select {
		case line := <-b.urgent:
			b.write(line, &budget)
		case line := <-b.ordinary:
			b.write(line, &budget)
		default:
			b.summarise()
			_ = b.buffer.Flush()
			return
		}
	}
}

// write writes a line or counts it when the budget is spent. The output's error has
// no reader; a process without a log goes on.
func (b *Bounded) write(line []byte, budget *int) {
	if *budget <= 0 {
		b.suppressed[eventOf(line)]++
		return
	}
	*budget--
	_, _ = b.out.Write(line)
}

// summarise writes one line for each event that was suppressed.
func (b *Bounded) summarise() {
	log := zerolog.New(b.out).With().Timestamp().Logger()
	for event, count := range b.suppressed {
		log.Warn().Str("suppressed_event", event).Int("count", count).Msg("log lines suppressed")
	}
	clear(b.suppressed)
	if n := b.overflow.Swap(0); n > 0 {
		log.Warn().Int64("count", n).Msg("log queue full")
	}
}

// eventOf returns the event of a JSON line.
func eventOf(line []byte) string {
	_, rest, ok := bytes.Cut(line, []byte(`"`+fieldEvent+`":"`))
	if !ok {
		return ""
	}
	event, _, _ := bytes.Cut(rest, []byte(`"`))
	return string(event)
}
