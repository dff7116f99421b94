package shareunits

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemarywall/rosemarywall/internal/objectapi"
)

// restore brings the table back from a copy in a new era.
func (w *world) restore(copied store) {
	era := objectapi.Version(w.store.version).Era() + 1
	w.store = store{copied.table, uint64(objectapi.NewVersion(era, objectapi.Version(copied.version).Revision()))}
	w.delayedWrites = nil // their condition names the former era
}

// Guards against share units in use by two VMs after the store came back from a copy in
// which one of them had not given them away yet.
func TestRestoredTableGrantsNoShareUnitsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 4).Draw(t, "vms")
		w := newWorld(n)
		w.run(10 * time.Second)
		copied := w.store
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "vm")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				w.notServing[i] = !w.notServing[i]
			case 1:
				copied = w.store
			case 2:
				w.restore(copied)
			case 3, 4:
				w.now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			case 5:
				w.runWithout(i, time.Duration(rapid.IntRange(5, 15).Draw(t, "quiet s"))*time.Second)
			case 6, 7:
				w.read(i)
			default:
				w.write(i, rapid.IntRange(0, 4).Draw(t, "lost") == 0, false)
			}
			if used := w.usableShareUnits(); used > Total {
				t.Fatalf("%d share units of %d in use at %v: %+v", used, Total, w.now, w.store.table)
			}
		}
	})
}
