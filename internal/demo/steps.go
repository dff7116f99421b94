package demo

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
	"golang.org/x/sync/errgroup"

	"github.com/rosemarywall/rosemarywall/internal/fleet"
	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

func (d *demo) applyFirstNote(ctx context.Context) (string, error) {
	started := time.Now()
	result, err := d.applyWhenReady(ctx, d.fleet.FirstNote())
	if err != nil {
		return "", err
	}
	err = poll(ctx, func() bool {
		for _, vm := range d.vms {
			if _, err := d.connectOnce(ctx, vm); err != nil {
				return false
			}
		}
		return true
	})
	if err != nil {
		return "", errors.Wrap(err, "wait until every VM accepts callers")
	}
	return fmt.Sprintf("version %d in force on %d VMs, %d ms after the start", result.Version, len(d.vms), time.Since(started).Milliseconds()), nil
}

// applyWhenReady repeats a note while the VMs are still finding each other.
func (d *demo) applyWhenReady(ctx context.Context, note string) (fleet.NoteResult, error) {
	deadline, cancel := context.WithTimeout(ctx, startDeadline)
	defer cancel()
	var result fleet.NoteResult
	var last error
	err := poll(deadline, func() bool {
		result, last = d.fleet.ApplyNote(deadline, d.vms[0], note)
		return last == nil
	})
	if err != nil {
		return result, errors.CombineErrors(last, err)
	}
	return result, nil
}

func (d *demo) connectOnce(ctx context.Context, vm ident.VMName) (string, error) {
	conn, err := pgx.Connect(ctx, d.fleet.ConnectionString(vm, tenant, d.config.Databases[0]))
	if err != nil {
		return "", err
	}
	var one string
	err = conn.QueryRow(ctx, "select '1'").Scan(&one)
	return one, errors.CombineErrors(err, conn.Close(ctx))
}

func (d *demo) readThroughAnotherProxy(ctx context.Context) (string, error) {
	const writes = 20
	writer, err := d.connect(ctx, 0, tenant)
	if err != nil {
		return "", err
	}
	defer func() { _ = writer.Close(ctx) }()
	reader, err := d.connect(ctx, 1, tenant)
	if err != nil {
		return "", err
	}
	defer func() { _ = reader.Close(ctx) }()
	if _, err := writer.Exec(ctx, "create table deck_order (id bigint primary key, sheets bigint)"); err != nil {
		return "", err
	}
	for i := range writes {
		if _, err := writer.Exec(ctx, "insert into deck_order values ($1, $2)", int64(i), int64(10*i)); err != nil {
			return "", err
		}
		var count int64
		if err := reader.QueryRow(ctx, "select count(*) from deck_order").Scan(&count); err != nil {
			return "", err
		}
		if count != int64(i+1) {
			return "", errors.Newf("read %d rows after %d acknowledged writes", count, i+1)
		}
	}
	return fmt.Sprintf("%d writes through %s, each read at once through %s without a token", writes, d.vms[0], d.vms[1]), nil
}

func (d *demo) failPrimary(ctx context.Context) (string, error) {
	conn, err := d.connect(ctx, 1, tenant)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close(ctx) }()
	old := d.primary()
	if old == "" {
		return "", errors.New("no primary")
	}
	var acknowledged []int64
	var killed time.Time
	for id := int64(1000); ; id++ {
		if len(acknowledged) == 10 && killed.IsZero() {
			d.fleet.Standin.Groups[d.config.Databases[0]].Member(old).Kill()
			killed = time.Now()
		}
		_, err := conn.Exec(ctx, "insert into deck_order values ($1, 0)", id)
		switch {
		case err == nil:
			acknowledged = append(acknowledged, id)
		case sqlState(err) == "" || ctx.Err() != nil:
			return "", err
		}
		if err == nil && !killed.IsZero() {
			break
		}
	}
	gap := time.Since(killed)
	for _, id := range acknowledged {
		var found int64
		if err := conn.QueryRow(ctx, "select count(*) from deck_order where id = $1", id).Scan(&found); err != nil {
			return "", err
		}
		if found != 1 {
			return "", errors.Newf("acknowledged write %d is there %d times", id, found)
		}
	}
	if err := d.fleet.Standin.Groups[d.config.Databases[0]].Member(old).Restart(); err != nil {
		return "", err
	}
	return fmt.Sprintf("%s replaced by %s, first write %d ms after the kill, %d of %d acknowledged writes found",
		old, d.primary(), gap.Milliseconds(), len(acknowledged), len(acknowledged)), nil
}

// primary returns the member with the highest term that is primary.
func (d *demo) primary() ident.UpstreamName {
	var best group.Status
	for _, member := range d.fleet.Standin.Groups[d.config.Databases[0]].Members() {
		if s := member.Status(); s.Role == group.RolePrimary && s.Term > best.Term {
			best = s
		}
	}
	return best.Upstream
}

func (d *demo) withdrawKey(ctx context.Context) (string, error) {
	const key = "key-that-will-be-withdrawn"
	if _, err := d.fleet.ApplyNote(ctx, d.vms[0], "[note]\ntitle = second key\n\n"+fleet.KeySection(tenant, "second", key)); err != nil {
		return "", err
	}
	address := strings.Replace(d.fleet.ConnectionString(d.vms[2], tenant, d.config.Databases[0]), fleet.Key(tenant), key, 1)
	var conn *pgx.Conn
	err := poll(ctx, func() bool {
		var err error
		conn, err = pgx.Connect(ctx, address)
		return err == nil
	})
	if err != nil {
		return "", errors.Wrap(err, "connect with the new key")
	}
	defer func() { _ = conn.Close(ctx) }()
	if _, err := conn.Exec(ctx, "select 1"); err != nil {
		return "", err
	}
	withdrawn := time.Now()
	if _, err := d.fleet.ApplyNote(ctx, d.vms[0], fmt.Sprintf("[note]\ntitle = withdraw key\n\n[withdraw key %s/second]\n", tenant)); err != nil {
		return "", err
	}
	var refusal error
	if err := poll(ctx, func() bool { _, refusal = conn.Exec(ctx, "select 1"); return refusal != nil }); err != nil {
		return "", err
	}
	if sqlState(refusal) != "28000" {
		return "", errors.Wrap(refusal, "connected caller")
	}
	after := time.Since(withdrawn)
	if _, err := pgx.Connect(ctx, address); sqlState(err) != "28P01" {
		return "", errors.Newf("new caller with the withdrawn key: %v", err)
	}
	return fmt.Sprintf("connected caller refused %d ms after the note was sent, new caller refused", after.Milliseconds()), nil
}

func (d *demo) exceedRate(ctx context.Context) (string, error) {
	var rate, burst float64
	for _, o := range d.config.Organisations {
		if o.Name == limitedTenant {
			rate, burst = o.Rate, o.Burst
		}
	}
	const callers, requests = 12, 50
	var admitted, refused atomic.Int64
	started := time.Now()
	running, ctx := errgroup.WithContext(ctx)
	for i := range callers {
		running.Go(func() error { return d.spend(ctx, i%len(d.vms), requests, &admitted, &refused) })
	}
	if err := running.Wait(); err != nil {
		return "", err
	}
	allowed := burst + rate*time.Since(started).Seconds()
	if refused.Load() == 0 || float64(admitted.Load()) > allowed {
		return "", errors.Newf("admitted %d and refused %d where %.0f were allowed", admitted.Load(), refused.Load(), allowed)
	}
	return fmt.Sprintf("admitted %d of %d statements on %d VMs, at most %.0f were allowed; %d refused as not run",
		admitted.Load(), callers*requests, len(d.vms), allowed, refused.Load()), nil
}

// spend sends requests of the limited organisation through one VM and counts the
// outcomes.
func (d *demo) spend(ctx context.Context, vm, requests int, admitted, refused *atomic.Int64) error {
	conn, err := d.connect(ctx, vm, limitedTenant)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	for range requests {
		_, err := conn.Exec(ctx, "select 1", pgx.QueryExecModeSimpleProtocol)
		switch {
		case err == nil:
			admitted.Add(1)
		case sqlState(err) == "53400":
			refused.Add(1)
		default:
			return err
		}
	}
	return nil
}

func (d *demo) takeZoneOut(ctx context.Context) (string, error) {
	const zone = 2
	name := d.config.Zones[zone].Name
	inside, err := d.connect(ctx, zone, tenant)
	if err != nil {
		return "", err
	}
	defer func() { _ = inside.Close(ctx) }()
	if _, err := d.fleet.ApplyNote(ctx, d.vms[0], fmt.Sprintf("[note]\ntitle = zone out\n\n[change zone %s]\nstate = out\n", name)); err != nil {
		return "", err
	}
	started := time.Now()
	if err := poll(ctx, func() bool { _, err := inside.Exec(ctx, "select 1"); return err != nil }); err != nil {
		return "", errors.Wrap(err, "connected caller of the zone is still served")
	}
	out := time.Since(started)
	if _, err := d.connectOnce(ctx, d.vms[zone]); err == nil {
		return "", errors.New("zone accepts a new caller while it is out")
	}
	for _, vm := range []int{0, 1} {
		if _, err := d.connectOnce(ctx, d.vms[vm]); err != nil {
			return "", errors.Wrap(err, "another zone refused work")
		}
	}
	if _, err := d.fleet.ApplyNote(ctx, d.vms[0], fmt.Sprintf("[note]\ntitle = zone in\n\n[change zone %s]\nstate = in\n", name)); err != nil {
		return "", err
	}
	back := time.Now()
	if err := poll(ctx, func() bool { _, err := d.connectOnce(ctx, d.vms[zone]); return err == nil }); err != nil {
		return "", errors.Wrap(err, "zone does not serve again")
	}
	return fmt.Sprintf("%s took no work %d ms after the note, others served, and serves again after %d ms",
		name, out.Milliseconds(), time.Since(back).Milliseconds()), nil
}
