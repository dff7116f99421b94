package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	api "github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

const settings = `
[platform]
address = 127.0.0.1:0
[control]
address = 127.0.0.1:0
[zone ruse-a]
network = 127.0.2.0/24
[link callers@ruse-a orders/a]
latency = 1ms
[group orders]
user = upstream
password = secret
[upstream orders a]
zone = plovdiv-a
slots = 2
connections = 16
connect_delay = 1ms
[upstream orders b]
zone = ruse-a
ship_delay = 1ms
lag = 1ms
`

// A process started from settings must serve the group and its object, and obey
// the control API.
func TestStartAndControl(t *testing.T) {
	cfg, problems := ParseSettings("standin.ini", []byte(settings))
	assert.Equal(t, len(problems), 0, "%v", problems)
	s, err := Start(cfg)
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	client := api.NewHTTPClient(s.Platform.Address())
	object, err := client.Get(t.Context(), api.KindGroup, "orders")
	assert.NilError(t, err)
	assert.Equal(t, string(object.Value), `{"term":1,"primary":"a","state":"serving","writer":"standin"}`)

	address := s.Groups["orders"].Member("a").Address()
	conn, err := pgx.Connect(t.Context(), fmt.Sprintf("postgres://upstream:secret@%s/orders?sslmode=disable", address))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close(t.Context()) })
	_, err = conn.Exec(t.Context(), "CREATE TABLE v (i int) /* request:r1 */", pgx.QueryExecModeSimpleProtocol)
	assert.NilError(t, err)

	var markers map[string]struct{ Executed, Committed int }
	call(t, s, http.MethodGet, "/v1/markers/orders", "", &markers)
	assert.Equal(t, markers["r1"].Committed, 1)
	call(t, s, http.MethodPost, "/v1/platform", `{"outage": true}`, nil)
	_, err = client.VMs(t.Context())
	assert.Equal(t, resultcode.Of(err), resultcode.PlatformDown)
	call(t, s, http.MethodPost, "/v1/link", `{"from": "orders/a", "to": "orders/b", "both": true, "cut": true, "latency_ms": 1}`, nil)
	call(t, s, http.MethodPost, "/v1/upstream", `{"group": "orders", "upstream": "a", "action": "kill"}`, nil)
	_, err = conn.Exec(t.Context(), "SELECT 1")
	assert.Assert(t, err != nil)
	var state State
	call(t, s, http.MethodGet, "/v1/state", "", &state)
	assert.Equal(t, state.Upstreams["orders/a"].Address, address)
	assert.Equal(t, state.Upstreams["orders/a"].Counters.Statements, uint64(1))
}

func call(t *testing.T, s *Standin, method, path, body string, out any) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+s.ControlAddress()+path, strings.NewReader(body))
	assert.NilError(t, err)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	if out != nil {
		assert.NilError(t, json.NewDecoder(response.Body).Decode(out))
	}
}

// Mistakes in settings must be reported with their code, not ignored.
func TestSettingsErrors(t *testing.T) {
	for text, code := range map[string]resultcode.Code{
		"[platform]\nadress = 1":                  resultcode.SettingsUnknown,
		"[storage]\nx = 1":                        resultcode.SettingsUnknown,
		"[platform]\naddress = localhost:1":       resultcode.SettingsInvalid,
		"[group g]\n[upstream g a]\nslots = none": resultcode.SettingsInvalid,
		"[group g]\n[upstream g a]\nlag = 5":      resultcode.SettingsInvalid,
		"[zone z]\nnetwork = 127":                 resultcode.SettingsInvalid,
		"[upstream g a]\nslots = 1":               resultcode.SettingsMissing,
		"[group g]\nuser = u":                     resultcode.SettingsMissing,
		"[platform\n":                             resultcode.SettingsSyntax,
	} {
		_, problems := ParseSettings("standin.ini", []byte(text))
		assert.Equal(t, len(problems), 1, "%s: %v", text, problems)
		assert.Equal(t, problems[0].Code, code, "%s: %v", text, problems)
	}
}
