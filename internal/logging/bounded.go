package logging

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// queueLines is the number of lines of each class that wait for the output.
	queueLines = 512
	// bufferBytes joins the lines of a burst into few writes.
	bufferBytes = 8 << 10
	// summaryEvery is the time between lines that count what was suppressed.
	summaryEvery = time.Second
	// trafficPrefix and callerPrefix begin the events that requests cause.
	trafficPrefix = "statement "
	callerPrefix  = "caller "
)

// class orders lines by their use after a failure.
type class int

const (
	// state lines say what the process believes: dependencies, configuration, roles.
	state class = iota
	// failure lines are about requests that were refused or failed.
	failure
	// success lines are about the others.
	success
	classes
)

// perSecond bounds the lines of each class written a second. 100 lines take about 1 ms
// of processor time.
var perSecond = [classes]int{state: 60, failure: 40, success: 20}

// classOf returns the class of a line.
func classOf(level zerolog.Level, event string) class {
	switch {
	case !strings.HasPrefix(event, trafficPrefix) && !strings.HasPrefix(event, callerPrefix):
		return state
	case level >= zerolog.WarnLevel:
		return failure
	}
	return success
}

// Bounded is an output that never blocks the process: lines that do not fit are
// counted. Lines about the state of the process are kept before those about failed
// requests, and these before those about successes. It implements
// zerolog.LevelWriter.
type Bounded struct {
	out        pairsWriter
	buffer     *bufio.Writer // flushed when no line waits
	queues     [classes]chan []byte
	wake       chan struct{}
	overflow   atomic.Int64
	suppressed map[string]int // by event; owned by run
	stop       chan struct{}
	stopOnce   sync.Once
	done       sync.WaitGroup
}

// NewBounded returns a logger over a Bounded output that writes to out. Close
// writes what waits.
func NewBounded(out io.Writer, level string) (zerolog.Logger, *Bounded, error) {
	buffer := bufio.NewWriterSize(out, bufferBytes)
	b := &Bounded{
		out: pairsWriter{buffer}, buffer: buffer, wake: make(chan struct{}, 1),
		suppressed: map[string]int{}, stop: make(chan struct{}),
	}
	for i := range b.queues {
		b.queues[i] = make(chan []byte, queueLines)
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
	select {
	case b.queues[classOf(level, eventOf(line))] <- bytes.Clone(line):
	default:
		b.overflow.Add(1)
	}
	select {
	case b.wake <- struct{}{}:
	default:
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
	budget := perSecond
	for {
		for b.next(&budget) {
		}
		_ = b.buffer.Flush() // see write
		select {
		case <-b.wake:
		case <-ticker.C:
			budget = perSecond
			b.summarise()
		case <-b.stop:
			budget = [classes]int{queueLines, queueLines, queueLines}
			for b.next(&budget) {
			}
			b.summarise()
			_ = b.buffer.Flush()
			return
		}
	}
}

// next takes the most useful line that waits; false when there is none.
func (b *Bounded) next(budget *[classes]int) bool {
	for c, queue := range b.queues {
		select {
		case line := <-queue:
			b.write(line, &budget[c])
			return true
		default:
		}
	}
	return false
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
