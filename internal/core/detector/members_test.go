package detector

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a cached member list that is older than the view, and against a caller
// of Members whose modifications appear in later results.
func TestMembersFollowTheView(t *testing.T) {
	cfg := DefaultConfig(Member{Name: "a", Zone: "z", Incarnation: 1})
	d := New(0, cfg, rand.New(rand.NewPCG(1, 1)))
	b, c := Member{Name: "b", Zone: "z", Incarnation: 1}, Member{Name: "c", Zone: "z", Incarnation: 1}
	d.AddHints(0, []Member{c, b}, false)
	names := func() (names []string) {
		for _, m := range d.Members() {
			names = append(names, string(m.Name)+" "+m.State.String())
		}
		return names
	}
	assert.DeepEqual(t, names(), []string{"a alive", "b alive", "c alive"})
	clear(slices.DeleteFunc(d.Members(), func(m Member) bool { return m.Name == "a" }))
	assert.DeepEqual(t, names(), []string{"a alive", "b alive", "c alive"})

	b.State = Leaving
	d.Receive(time.Second, c, Message{Type: Ping, Records: []Record{{Member: b, Refutation: 1}}})
	assert.DeepEqual(t, names(), []string{"a alive", "b leaving", "c alive"})
	for now := 2 * time.Second; now <= time.Second+cfg.DeadRetention+cfg.Period; now += cfg.Period {
		d.Tick(now)
		d.Receive(now, c, Message{Type: Ping})
	}
	assert.Assert(t, !slices.Contains(names(), "b leaving"), "a removed member is listed")
}
