package entry

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/settings"
	"github.com/rosemarywall/rosemarywall/internal/standin"
)

// Guards against undocumented metrics and against documented metrics that do not exist.
func TestMetricsPageMatchesTheProcess(t *testing.T) {
	s, err := standin.Start(standin.Config{})
	assert.NilError(t, err)
	defer s.Close()
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	vm, err := Start(Config{PlaintextPeers: true, Log: zerolog.Nop(), Settings: &settings.Settings{
		VM:       settings.VM{Name: "entry-1", Zone: "a", Region: "r"},
		Callers:  settings.Callers{Listen: anyPort},
		Peers:    settings.Peers{Listen: anyPort},
		Platform: settings.Platform{Address: netip.MustParseAddrPort(s.Platform.Address())},
		Admin:    settings.Admin{Listen: anyPort},
	}})
	assert.NilError(t, err)
	defer vm.Kill()
	response, err := http.Get("http://" + vm.AdminAddress() + "/debug/vars")
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	var vars map[string]json.RawMessage
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&vars))
	page, err := os.ReadFile("../../docs/metrics.md")
	assert.NilError(t, err)

	documented := map[string]bool{}
	for _, name := range regexp.MustCompile("`([a-z_]+\\.[a-z_*]+)`").FindAllStringSubmatch(string(page), -1) {
		documented[name[1]] = true
	}
	for _, component := range []string{"callers", "mesh", "configuration", "shares", "groups", "platform_calls"} {
		var metrics map[string]json.RawMessage
		assert.NilError(t, json.Unmarshal(vars[component], &metrics), component)
		for name := range metrics {
			full := component + "." + name
			assert.Check(t, documented[full] || documented[component+".*"], "%s is not documented", full)
			delete(documented, full)
		}
	}
	for name := range documented {
		assert.Check(t, strings.HasSuffix(name, ".*"), "%s is documented and does not exist", name)
	}
}
