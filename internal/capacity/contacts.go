package capacity

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"
)

// The choice of the VM that a VM asks beside its watchers, as in the configuration
// controller and the mesh.
const (
	askInterval    = 500 * time.Millisecond
	linkIdle       = 5 * time.Minute
	randomContacts = 16
	contactDraws   = 80
)

// connections counts what one VM opens by asking another VM every askInterval.
type connections struct{ Opened, Held float64 } // per second; at once

// simulateContacts draws for an hour. With contacts false any VM is asked.
func simulateContacts(vms int, contacts bool) connections {
	random := rand.New(rand.NewPCG(13, uint64(vms)))
	var drawn [randomContacts]int
	for i := range drawn {
		drawn[i] = random.IntN(vms)
	}
	used := map[int]time.Duration{}
	opened, hour := 0, time.Hour
	for now := time.Duration(0); now < hour; now += askInterval {
		to := random.IntN(vms)
		if contacts {
			slot := &drawn[random.IntN(randomContacts)]
			if random.IntN(contactDraws) == 0 {
				*slot = to
			}
			to = *slot
		}
		if last, ok := used[to]; !ok || now-last > linkIdle {
			opened++
		}
		used[to] = now
	}
	held := 0
	for _, last := range used {
		if hour-last <= linkIdle {
			held++
		}
	}
	return connections{float64(opened) / hour.Seconds(), float64(held)}
}

// reportContacts compares the bytes of opening connections. The asked VM answers
// over a connection of its own, and each VM is asked as often as it asks, so that a
// VM takes part in four handshakes for each VM that it newly asks.
func reportContacts(out io.Writer) error {
	h, err := measureHandshake(100)
	if err != nil {
		return err
	}
	for _, vms := range []int{462, 1850, DesignVMs} {
		for _, contacts := range []bool{false, true} {
			c := simulateContacts(vms, contacts)
			name := "any VM"
			if contacts {
				name = fmt.Sprintf("one of %d contacts", randomContacts)
			}
			fmt.Fprintf(out, "%d VMs, %s asked every %v: %.3f VMs newly asked per second, %.0f bytes/s sent and received in handshakes, %.2f%% of a core, %.0f connections held for asking and as many for answering, in each direction\n",
				vms, name, askInterval, c.Opened, 4*c.Opened*h.Bytes, 100*4*c.Opened*h.Processor.Seconds()/2, c.Held)
		}
	}
	return nil
}
