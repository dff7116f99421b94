package fleet

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Latencies and cuts are set by endpoint name. A name that the stand-in does not
// use would be ignored silently, and every fault with it.
func TestEndpointsAreThoseOfTheStandin(t *testing.T) {
	cfg := Testeno()
	for i := range cfg.Zones {
		cfg.Zones[i].VMs = 0
	}
	f, err := Start(cfg)
	assert.NilError(t, err)
	t.Cleanup(f.Close)
	for _, database := range cfg.Databases {
		for zone := range cfg.Zones {
			m := f.Standin.Groups[database].Member(memberName(database, zone))
			assert.Equal(t, m.Endpoint(), endpoint(database, zone))
		}
	}
}
