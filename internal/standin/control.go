package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/standin/upstream"
)

// PlatformControl changes the faults of the platform; absent members change nothing.
type PlatformControl struct {
	Outage      *bool                           `json:"outage,omitempty"`
	SlowMS      *int64                          `json:"slow_ms,omitempty"`
	LoseAnswers *int                            `json:"lose_answers,omitempty"`
	Quota       *Quota                          `json:"quota,omitempty"`
	CutZones    map[ident.AvailabilityZone]bool `json:"cut_zones,omitempty"`
	VMList      *VMList                         `json:"vm_list,omitempty"`
}

// VMList is the age of the list of VMs and the expiry of its entries.
type VMList struct {
	LagMS    int64 `json:"lag_ms"`
	ExpiryMS int64 `json:"expiry_ms"`
}

// Quota is the number of calls per second.
type Quota struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
}

// UpstreamControl acts on one member; absent members change nothing.
type UpstreamControl struct {
	Group    ident.GroupName    `json:"group"`
	Upstream ident.UpstreamName `json:"upstream"`
	// Action is pause, resume, kill or restart.
	Action      string       `json:"action,omitempty"`
	Replication *Replication `json:"replication,omitempty"`
	SQLAnswers  *Answers     `json:"sql_answers,omitempty"`
	Agent       *Answers     `json:"agent_answers,omitempty"`
}

// Replication is the delay of replication to a member.
type Replication struct {
	ShipDelayMS int64 `json:"ship_delay_ms"`
	LagMS       int64 `json:"lag_ms"`
}

// Answers is a fault of the next answers.
type Answers struct {
	Fault   upstream.AnswerFault `json:"fault"`
	Count   int                  `json:"count"`
	DelayMS int64                `json:"delay_ms"`
}

// LinkControl changes one direction of a link, or both.
type LinkControl struct {
	From      string `json:"from"`
	To        string `json:"to"`
	Both      bool   `json:"both"`
	Cut       *bool  `json:"cut,omitempty"`
	LatencyMS *int64 `json:"latency_ms,omitempty"`
}

// State is what the control API reports.
type State struct {
	Platform string          `json:"platform"`
	Calls    json.RawMessage `json:"calls"`
	// Upstreams are keyed by group/upstream.
	Upstreams map[string]UpstreamState `json:"upstreams"`
}

// UpstreamState describes one member.
type UpstreamState struct {
	Zone     ident.AvailabilityZone `json:"zone"`
	Address  string                 `json:"address"`
	Agent    string                 `json:"agent"`
	Status   group.Status           `json:"status"`
	Counters upstream.Counters      `json:"counters"`
}

// ControlHandler serves the control API: GET /v1/state,
// GET /v1/markers/{group}, and POST /v1/platform, /v1/upstream and /v1/link.
func (s *Standin) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/state", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.State()) })
	mux.HandleFunc("GET /v1/markers/{group}", func(w http.ResponseWriter, r *http.Request) {
		g, ok := s.Groups[ident.GroupName(r.PathValue("group"))]
		if !ok {
			http.Error(w, "unknown group", http.StatusNotFound)
			return
		}
		reply(w, g.Markers())
	})
	mux.HandleFunc("POST /v1/platform", control(s.ControlPlatform))
	mux.HandleFunc("POST /v1/upstream", control(s.ControlUpstream))
	mux.HandleFunc("POST /v1/link", control(s.ControlLink))
	return mux
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func control[T any](apply func(T) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request T
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		err := decoder.Decode(&request)
		if err == nil {
			err = apply(request)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// State returns addresses, statuses and counters of everything.
func (s *Standin) State() State {
	state := State{
		Platform: s.Platform.Address(), Calls: json.RawMessage(s.Platform.Calls().String()),
		Upstreams: map[string]UpstreamState{},
	}
	for _, g := range s.Groups {
		for _, m := range g.Members() {
			state.Upstreams[m.Endpoint()] = UpstreamState{
				Zone: m.Zone(), Address: m.Address(), Agent: m.AgentAddress(), Status: m.Status(), Counters: m.Counters(),
			}
		}
	}
	return state
}

// ControlPlatform changes the faults of the platform.
func (s *Standin) ControlPlatform(c PlatformControl) error {
	if c.Outage != nil {
		s.Platform.SetOutage(*c.Outage)
	}
	if c.SlowMS != nil {
		s.Platform.SetSlow(milliseconds(*c.SlowMS))
	}
	if c.LoseAnswers != nil {
		s.Platform.LoseAnswers(*c.LoseAnswers)
	}
	if c.Quota != nil {
		s.Platform.SetQuota(c.Quota.Reads, c.Quota.Writes)
	}
	for zone, cut := range c.CutZones {
		s.Platform.CutZone(zone, cut)
	}
	if c.VMList != nil {
		s.Platform.SetVMList(milliseconds(c.VMList.LagMS), milliseconds(c.VMList.ExpiryMS))
	}
	return nil
}

// ControlUpstream acts on one member.
func (s *Standin) ControlUpstream(c UpstreamControl) error {
	g, ok := s.Groups[c.Group]
	if !ok {
		return errors.Newf("unknown group %q", c.Group)
	}
	m := g.Member(c.Upstream)
	if m == nil {
		return errors.Newf("unknown upstream %q", c.Upstream)
	}
	if c.Replication != nil {
		m.SetReplication(milliseconds(c.Replication.ShipDelayMS), milliseconds(c.Replication.LagMS))
	}
	if f := c.SQLAnswers; f != nil {
		m.FailSQLAnswers(f.Fault, f.Count, milliseconds(f.DelayMS))
	}
	if f := c.Agent; f != nil {
		m.FailAgentAnswers(f.Fault, f.Count, milliseconds(f.DelayMS))
	}
	return act(m, c.Action)
}

func act(m *upstream.Member, action string) error {
	switch action {
	case "":
	case "pause":
		m.Pause()
	case "resume":
		m.Resume()
	case "kill":
		m.Kill()
	case "restart":
		return m.Restart()
	default:
		return errors.Newf("unknown action %q", action)
	}
	return nil
}

// ControlLink changes a link.
func (s *Standin) ControlLink(c LinkControl) error {
	directions := [][2]string{{c.From, c.To}}
	if c.Both {
		directions = append(directions, [2]string{c.To, c.From})
	}
	for _, d := range directions {
		if c.Cut != nil {
			s.Network.Cut(d[0], d[1], *c.Cut)
		}
		if c.LatencyMS != nil {
			s.Network.SetLatency(d[0], d[1], milliseconds(*c.LatencyMS))
		}
	}
	return nil
}
