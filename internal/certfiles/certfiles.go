// Package certfiles reads certificate files again when they change, so that a process
// need not stop for a new certificate. A faulty change is reported once and leaves the
// previous content in use.
package certfiles

import (
	"os"
	"slices"
	"sync"
	"time"
)

// CheckInterval limits how often the files are examined.
const CheckInterval = time.Second

// stamp identifies the content of a file.
type stamp struct {
	modified time.Time
	size     int64
}

// Loader loads one set of files that belong together. It is safe for concurrent use.
type Loader[T any] struct {
	// Files are the paths that are examined.
	Files []string
	// Load reads the files.
	Load func() (T, error)
	// OnError, when set, is told about a change that cannot be loaded.
	OnError func(error)

	mu      sync.Mutex
	checked time.Time
	stamps  []stamp
	loaded  bool
	value   T
}

// Current returns the newest content that could be loaded. The error is that of Load
// when none ever could.
func (l *Loader[T]) Current() (T, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.loaded && time.Since(l.checked) < CheckInterval {
		return l.value, nil
	}
	l.checked = time.Now()
	stamps := l.examine()
	if l.loaded && slices.Equal(stamps, l.stamps) {
		return l.value, nil
	}
	l.stamps = stamps
	value, err := l.Load()
	switch {
	case err == nil:
		l.value, l.loaded = value, true
	case !l.loaded:
		return l.value, err
	case l.OnError != nil:
		l.OnError(err)
	}
	return l.value, nil
}

func (l *Loader[T]) examine() []stamp {
	stamps := make([]stamp, len(l.Files))
	for i, name := range l.Files {
		if info, err := os.Stat(name); err == nil {
			stamps[i] = stamp{info.ModTime(), info.Size()}
		}
	}
	return stamps
}
