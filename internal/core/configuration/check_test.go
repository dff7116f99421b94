package configuration

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/framing"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// checked returns a valid configuration with one entry of each kind, whose name is that of the
// kind's parameter.
func checked(organisation, key, hash, database, upstream, zone, region, address string) *Configuration {
	c := Empty()
	c.Version = 7
	c.Organisations[ident.OrganisationName(organisation)] = Organisation{Databases: []ident.GroupName{ident.GroupName(database)}, Keys: map[string]string{key: hash}}
	c.Zones[ident.AvailabilityZone(zone)] = Zone{Region: ident.Region(region)}
	c.Databases[ident.GroupName(database)] = Database{Upstreams: map[ident.UpstreamName]Upstream{
		ident.UpstreamName(upstream): {Zone: ident.AvailabilityZone(zone), Address: address, Agent: "127.0.0.1:2"}}}
	return c
}

// Guards against names of a stored configuration that end a field of a startup packet, or
// become equal when they are decoded.
func TestDecodeRejectsNamesThatNoNoteSets(t *testing.T) {
	valid := []string{"web", "main", strings.Repeat("ab", 32), "db", "db-1", "ruse-a", "ruse", "127.0.0.1:1"}
	places := []string{"organisations[", ".keys", ".keys[", "databases", ".upstreams[", "zone", ".region", ".address"}
	with := func(i int, odd string) *Configuration {
		v := append([]string{}, valid...)
		v[i] = odd
		return checked(v[0], v[1], v[2], v[3], v[4], v[5], v[6], v[7])
	}
	c, err := Decode(Encode(with(0, valid[0])))
	assert.NilError(t, err)
	assert.DeepEqual(t, c, with(0, valid[0]))
	for i, place := range places {
		for _, odd := range []string{"", "a\x00user\x00root", "a b", "a\n", "a'; DROP", "a\xff", "A", strings.Repeat("a", 100)} {
			_, err := Decode(Encode(with(i, odd)))
			assert.Equal(t, framing.ReasonOf(err), framing.Field, "%s %q: %v", place, odd, err)
			assert.ErrorContains(t, err, place)
		}
	}
}

// Guards against a shortened or lengthened encoding that is taken for a whole one.
func TestDecodeRejectsCutEncodings(t *testing.T) {
	data := Encode(checked("web", "main", strings.Repeat("ab", 32), "db", "db-1", "ruse-a", "ruse", "127.0.0.1:1"))
	for end := range data {
		_, err := Decode(data[:end])
		assert.Assert(t, err != nil, "%d bytes", end)
	}
	for _, rest := range [][]byte{{0}, []byte("x"), data} {
		_, err := Decode(append(append([]byte{}, data...), rest...))
		assert.Assert(t, err != nil, "%d bytes behind", len(rest))
	}
}

// FuzzDecode looks for a configuration that is accepted and is not read back equal.
func FuzzDecode(f *testing.F) {
	f.Add(Encode(Empty()))
	f.Add(Encode(checked("web", "main", strings.Repeat("ab", 32), "db", "db-1", "ruse-a", "ruse", "127.0.0.1:1")))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Decode(Encode(c))
		assert.NilError(t, err)
		assert.DeepEqual(t, Digest(again), Digest(c))
	})
}
