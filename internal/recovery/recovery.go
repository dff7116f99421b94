// Package recovery keeps a panic in one session, request or background task from ending
// the process. The work in which it occurred fails, everything else continues.
//
// A task releases what it holds by deferred calls, since code after the panic does not
// run: locks, connections, slots of a queue, and marks that a task is in progress.
package recovery

import (
	"context"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarywall/rosemarywall/internal/clock"
)

// restartDelay is the delay before a task that panicked is started again. It bounds the
// load of one that always does.
const restartDelay = time.Second

var panics atomic.Int64

// Panics returns the number of panics since the start of the process.
func Panics() int64 { return panics.Load() }

// Run calls f and reports whether it panicked. A panic is counted, and logged with the
// name of the task and the stack. The value of the panic may hold a part of a statement,
// so it is logged only if it is an error of the Go runtime.
func Run(log zerolog.Logger, task string, f func()) (panicked bool) {
	defer func() {
		if value := recover(); value != nil {
			panicked = true
			panics.Add(1)
			line := log.Error().Str("task", task)
			if err, ok := value.(runtime.Error); ok {
				line = line.Err(err)
			}
			line.Str("stack", string(debug.Stack())).Msg("task failed")
		}
	}()
	f()
	return false
}

// Go calls Run on a new goroutine.
func Go(log zerolog.Logger, task string, f func()) {
	go Run(log, task, f)
}

// Loop calls f until it returns without a panic or ctx ends. It waits for restartDelay
// after each panic.
func Loop(ctx context.Context, log zerolog.Logger, task string, f func(context.Context)) {
	for Run(log, task, func() { f(ctx) }) && clock.Sleep(ctx, restartDelay) {
	}
}
