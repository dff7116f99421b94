package capacity

import (
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/core/detector"
	"github.com/rosemarywall/rosemarywall/internal/peer"
)

// Guards against a page that calculates for other sizes or bounds than the code.
func TestPageHasTheSizesOfTheCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(page), SizeTable()), "docs/CAPACITY.md must contain:\n%s", SizeTable())
}

// Guards against sizes that differ from those of the design page.
func TestSizesOfTheDesignPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/design.md")
	assert.NilError(t, err)
	text := strings.Join(strings.Fields(string(page)), " ")
	for _, size := range []string{
		"3,700 VMs in front of 7,600 databases; 20 million caller connections; 7.2 million statements/s; 9 primary changes a day, each completed within 9 s; 7 regions with 24 zones; 10,000 configuration changes a day, in force everywhere within 4 s",
		"at most 2.6% of a core, 128 MB and 6 KB/s. Per day, 59 VMs fail and 1,500 restart",
		"at most 20 KB per idle caller connection",
	} {
		assert.Assert(t, strings.Contains(text, size), "%s", size)
	}
}

// Guards against a wrong slope or residual.
func TestFitLine(t *testing.T) {
	exact := FitLine([]Point{{1, 5}, {2, 7}, {4, 11}})
	assert.Assert(t, math.Abs(exact.Slope-2) < 1e-9 && math.Abs(exact.Base-3) < 1e-9 && exact.Residual < 1e-9)
	assert.Assert(t, math.Abs(exact.At(10)-23) < 1e-9)
	bent := FitLine([]Point{{0, 0}, {1, 0}, {2, 3}}) // line 1.5x - 0.5; differences 0.5, -1, 0.5
	assert.Assert(t, math.Abs(bent.Residual-math.Sqrt(0.5)) < 1e-9)
}

// Guards against frame overheads that are left out or counted twice.
func TestWireBytes(t *testing.T) {
	assert.Equal(t, wireBytes(100), 100+6+22)
	assert.Equal(t, wireBytes(126), 126+6+2+22)
	assert.Equal(t, wireBytes(40<<10), 40<<10+6+2+3*22)
	self := member(0, 0)
	bare, err := peer.EncodedDetectorSize(self, detector.Message{Type: detector.Ping}, "", nil)
	assert.NilError(t, err)
	loaded, err := peer.EncodedDetectorSize(self, detector.Message{Type: detector.Ping}, "k", make([]byte, 50))
	assert.NilError(t, err)
	assert.Assert(t, loaded > bare+50 && loaded < bare+65)
}

// Guards against a simulated fleet that shows no traffic, no detection or false
// deaths, which would make every projection from it empty.
func TestDetectorRun(t *testing.T) {
	r, err := runDetectors(2, 6, 0, versionsPayload())
	assert.NilError(t, err)
	assert.Assert(t, r.Messages > 2 && r.Bytes > 100*r.Messages)
	assert.Equal(t, r.FalseDeaths, uint64(0))
	assert.Assert(t, r.Detected > 1500*time.Millisecond && r.Detected <= r.Spread)
}

// Guards against an escrow simulation without leases, and against one that refuses
// a load that is spread evenly and half the rate.
func TestEscrowRun(t *testing.T) {
	r, err := runEscrow(6, 10, 6, 0.5)
	assert.NilError(t, err)
	assert.Assert(t, r.LeaseMessages > 0.8 && r.Requests > 1000)
	assert.Equal(t, r.Refused, 0)
}
