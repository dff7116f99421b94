package load

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/standin/upstream"
)

// Action is what a fault does.
type Action string

// action starts a fault. undo may be nil.
type action struct {
	start func(*run, Fault) (undo func() error, err error)
	// value accepts the values of the action; nil accepts all.
	value func(string) bool
}

var actions = map[Action]action{
	"kill-member":           {start: killMember},
	"pause-member":          {start: pauseMember},
	"cut-member":            {start: cutMember},
	"lag-member":            {start: lagMember, value: isDuration},
	"fail-answers":          {start: failAnswers, value: isAnswerFault},
	"kill-vm":               {start: killVM},
	"stop-vm":               {start: stopVM},
	"cut-zone":              {start: cutZone},
	"cut-zone-platform":     {start: cutZonePlatform},
	"cut-zone-both":         {start: cutZoneBoth},
	"platform-outage":       {start: platformOutage},
	"platform-slow":         {start: platformSlow, value: isDuration},
	"platform-lose-answers": {start: platformLoseAnswers, value: isNumber},
	"zone-out":              {start: zoneOut},
	"withdraw-key":          {start: withdrawKey},
	"overload":              {start: overload, value: isNumber},
	"skew":                  {start: skew, value: isNumber},
}

// drainLimit bounds the graceful stop of a VM.
const drainLimit = 30 * time.Second

func isDuration(v string) bool { _, err := time.ParseDuration(v); return err == nil }
func isNumber(v string) bool   { _, err := strconv.ParseFloat(v, 64); return err == nil }

// isAnswerFault accepts a fault and a count, such as "close 20".
func isAnswerFault(v string) bool {
	fault, n, ok := strings.Cut(v, " ")
	return ok && isNumber(n) && (fault == string(upstream.DropAnswer) || fault == string(upstream.CloseBeforeAnswer) ||
		fault == string(upstream.DuplicateAnswer) || fault == string(upstream.DelayAnswer))
}

// member finds GROUP/primary, GROUP/replica or GROUP/MEMBER.
func (r *run) member(target string) (*upstream.Member, error) {
	name, role, _ := strings.Cut(target, "/")
	g := r.fleet.Standin.Groups[ident.GroupName(name)]
	if g == nil {
		return nil, errors.Newf("no group %q", name)
	}
	primary := g.Primary()
	for _, m := range g.Members() {
		switch {
		case role == "primary" && m == primary, role == "replica" && m != primary, role == string(m.Name()):
			return m, nil
		}
	}
	return nil, errors.Newf("no member %q", target)
}

func killMember(r *run, f Fault) (func() error, error) {
	m, err := r.member(f.Target)
	if err != nil {
		return nil, err
	}
	m.Kill()
	return m.Restart, nil
}

func pauseMember(r *run, f Fault) (func() error, error) {
	m, err := r.member(f.Target)
	if err != nil {
		return nil, err
	}
	m.Pause()
	return func() error { m.Resume(); return nil }, nil
}

// cutMember cuts a member from all callers, agents' clients and other members.
func cutMember(r *run, f Fault) (func() error, error) {
	m, err := r.member(f.Target)
	if err != nil {
		return nil, err
	}
	others := []string{upstream.Callers, upstream.Agents}
	group, _, _ := strings.Cut(f.Target, "/")
	for _, other := range r.fleet.Standin.Groups[ident.GroupName(group)].Members() {
		if other != m {
			others = append(others, other.Endpoint())
		}
	}
	set := func(cut bool) {
		for _, other := range others {
			r.fleet.Standin.Network.CutBoth(other, m.Endpoint(), cut)
		}
	}
	set(true)
	return func() error { set(false); return nil }, nil
}

func lagMember(r *run, f Fault) (func() error, error) {
	m, err := r.member(f.Target)
	if err != nil {
		return nil, err
	}
	lag, _ := time.ParseDuration(f.Value)
	m.SetReplication(r.config.ShipDelay, lag)
	return func() error { m.SetReplication(r.config.ShipDelay, r.config.Lag); return nil }, nil
}

// answerDelay is how late a delayed answer is.
const answerDelay = 500 * time.Millisecond

func failAnswers(r *run, f Fault) (func() error, error) {
	m, err := r.member(f.Target)
	if err != nil {
		return nil, err
	}
	fault, n, _ := strings.Cut(f.Value, " ")
	count, _ := strconv.Atoi(n)
	m.FailSQLAnswers(upstream.AnswerFault(fault), count, answerDelay)
	return nil, nil
}

func (r *run) knownVM(target string) (ident.VMName, error) {
	for _, name := range r.fleet.Names() {
		if string(name) == target {
			return name, nil
		}
	}
	return "", errors.Newf("no VM %q", target)
}

func killVM(r *run, f Fault) (func() error, error) {
	name, err := r.knownVM(f.Target)
	if err != nil {
		return nil, err
	}
	r.counters.sample(r.fleet)
	r.fleet.KillVM(name)
	return func() error { return r.fleet.StartVM(name) }, nil
}

func stopVM(r *run, f Fault) (func() error, error) {
	name, err := r.knownVM(f.Target)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(r.ctx, drainLimit)
	defer cancel()
	r.counters.sample(r.fleet)
	if err := r.fleet.StopVM(ctx, name); err != nil {
		return nil, err
	}
	return func() error { return r.fleet.StartVM(name) }, nil
}

func (r *run) zone(target string) (ident.AvailabilityZone, error) {
	for _, z := range r.config.Zones {
		if string(z.Name) == target {
			return z.Name, nil
		}
	}
	return "", errors.Newf("no zone %q", target)
}

// zoneSwitch makes an action of something that is switched on and off for a zone.
func zoneSwitch(r *run, f Fault, set func(ident.AvailabilityZone, bool)) (func() error, error) {
	zone, err := r.zone(f.Target)
	if err != nil {
		return nil, err
	}
	set(zone, true)
	return func() error { set(zone, false); return nil }, nil
}

func cutZone(r *run, f Fault) (func() error, error) { return zoneSwitch(r, f, r.fleet.CutZone) }

func cutZonePlatform(r *run, f Fault) (func() error, error) {
	return zoneSwitch(r, f, r.fleet.CutZoneFromPlatform)
}

func cutZoneBoth(r *run, f Fault) (func() error, error) {
	return zoneSwitch(r, f, func(zone ident.AvailabilityZone, cut bool) {
		r.fleet.CutZoneFromPlatform(zone, cut)
		r.fleet.CutZone(zone, cut)
	})
}

func platformOutage(r *run, _ Fault) (func() error, error) {
	r.fleet.Standin.Platform.SetOutage(true)
	return func() error { r.fleet.Standin.Platform.SetOutage(false); return nil }, nil
}

func platformSlow(r *run, f Fault) (func() error, error) {
	delay, _ := time.ParseDuration(f.Value)
	r.fleet.Standin.Platform.SetSlow(delay)
	return func() error { r.fleet.Standin.Platform.SetSlow(0); return nil }, nil
}

func platformLoseAnswers(r *run, f Fault) (func() error, error) {
	n, _ := strconv.Atoi(f.Value)
	r.fleet.Standin.Platform.LoseAnswers(n)
	return nil, nil
}

func zoneOut(r *run, f Fault) (func() error, error) {
	zone, err := r.zone(f.Target)
	if err != nil {
		return nil, err
	}
	note := func(state string) error {
		return r.note(fmt.Sprintf("[note]\ntitle = zone %s\n\n[change zone %s]\nstate = %s\n", state, zone, state))
	}
	return func() error { return note("in") }, note("out")
}

// secondKey is the name of the key that a scenario withdraws.
const secondKey = "second"

func withdrawKey(r *run, f Fault) (func() error, error) {
	err := r.note(fmt.Sprintf("[note]\ntitle = withdraw key\n\n[withdraw key %s/%s]\n", f.Target, secondKey))
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.withdrawals = append(r.withdrawals, Withdrawal{Organisation: ident.OrganisationName(f.Target), Key: secondKey, Accepted: r.now()})
	return nil, nil
}

func overload(r *run, f Fault) (func() error, error) {
	factor, _ := strconv.ParseFloat(f.Value, 64)
	r.workload.setFactor(ident.OrganisationName(f.Target), factor)
	return func() error { r.workload.setFactor(ident.OrganisationName(f.Target), 1); return nil }, nil
}

func skew(r *run, f Fault) (func() error, error) {
	share, _ := strconv.ParseFloat(f.Value, 64)
	r.balancer.skew(f.Target, share)
	return func() error { r.balancer.skew("", 0); return nil }, nil
}
