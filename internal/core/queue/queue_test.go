package queue

import (
	"fmt"
	"testing"
	"time"

	_ "github.com/rosemarywall/rosemarywall/internal/fixedseed" // repeatable property tests
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against an organisation that floods the queue taking the share of others:
// while one sends five times its share, each other one gets at least 95% of its own.
func TestFloodLeavesOthersTheirShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		organisations := rapid.IntRange(2, 8).Draw(t, "organisations")
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		weights := make([]int, organisations)
		total := 0
		for i := range weights {
			weights[i] = rapid.IntRange(1, 5).Draw(t, "weight")
			total += weights[i]
		}
		q := New(slots)
		next, owner := ID(0), map[ID]int{}
		add := func(i int, now time.Duration) {
			next++
			owner[next] = i
			q.Add(Entry{ID: next, Organisation: ident.OrganisationName(fmt.Sprint(i)), Weight: weights[i], Deadline: now + 5*time.Second})
		}
		// One round lasts total/slots ticks; each organisation sends its weight per
		// round, the first five times as much.
		const rounds = 200
		served := make([]int, organisations)
		var now time.Duration
		credit := 0
		for round := range rounds {
			for i, w := range weights {
				n := w
				if i == 0 {
					n = 5 * w
				}
				for range n {
					add(i, now)
				}
			}
			for credit += total; credit >= slots; credit -= slots {
				now += time.Millisecond
				for _, id := range q.Dispatch(now).Run {
					if round >= 10 {
						served[owner[id]]++
					}
				}
				for q.Running() > 0 {
					q.Release()
				}
			}
		}
		for i, w := range weights[1:] {
			fair := float64(w * (rounds - 10))
			assert.Assert(t, float64(served[i+1]) >= 0.95*fair, "organisation %d: %d of %.0f", i+1, served[i+1], fair)
		}
	})
}

// Guards against running expired or cancelled entries, losing entries or running them
// twice, and running more entries than there are slots.
func TestEntriesLeaveOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		q := New(slots)
		left := map[ID]string{}
		deadline := map[ID]time.Duration{}
		var now time.Duration
		record := func(id ID, how string) {
			_, known := deadline[id]
			assert.Assert(t, known && left[id] == "", "entry %d left as %q and %q", id, left[id], how)
			left[id] = how
		}
		step := func() {
			d := q.Dispatch(now)
			for _, id := range d.Run {
				record(id, "run")
				assert.Assert(t, deadline[id] > now)
			}
			for _, id := range d.Expired {
				record(id, "expired")
				assert.Assert(t, deadline[id] <= now)
			}
			assert.Assert(t, q.Running() <= slots)
			assert.Assert(t, q.Running() == slots || q.Waiting() == 0, "a slot is free while entries wait")
		}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				id := ID(len(deadline) + 1)
				deadline[id] = now + time.Duration(rapid.IntRange(1, 20).Draw(t, "wait"))
				organisation := rapid.SampledFrom([]ident.OrganisationName{"a", "b", "c"}).Draw(t, "organisation")
				q.Add(Entry{ID: id, Organisation: organisation, Weight: rapid.IntRange(0, 3).Draw(t, "weight"), Deadline: deadline[id]})
			},
			"cancel": func(t *rapid.T) {
				id := ID(rapid.IntRange(0, len(deadline)).Draw(t, "id"))
				_, known := deadline[id]
				waiting := known && left[id] == ""
				assert.Equal(t, q.Cancel(id), waiting)
				if waiting {
					left[id] = "cancelled"
				}
			},
			"release": func(t *rapid.T) {
				if q.Running() == 0 {
					t.Skip("nothing runs")
				}
				q.Release()
				step()
			},
			"advance": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 10).Draw(t, "by"))
				step()
			},
		})
		now += time.Hour
		for !q.Idle() {
			for q.Running() > 0 {
				q.Release()
			}
			step()
		}
		for id := range deadline {
			assert.Assert(t, left[id] != "", "entry %d never left", id)
		}
	})
}

func BenchmarkQueue(b *testing.B) {
	q := New(2)
	names := []ident.OrganisationName{"a", "b", "c", "d", "e", "f", "g", "h"}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		q.Add(Entry{ID: ID(i + 1), Organisation: names[i%len(names)], Weight: 1, Deadline: time.Duration(i + 1000)})
		if q.Waiting() > 64 {
			for range q.Dispatch(time.Duration(i)).Run {
				q.Release()
			}
		}
	}
}
