package peer

import (
	"context"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/certfiles"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/virtualtime"
)

// Guards against VMs that do not discover each other, that do not detect a failure, or
// that report a planned shutdown as a failure.
func TestMembershipDetectsJoinsFailuresAndLeaves(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t)
		zones := map[ident.VMName]ident.AvailabilityZone{"vm-1": "a", "vm-2": "a", "vm-3": "a", "vm-4": "b", "vm-5": "b"}
		meshes := map[ident.VMName]*Network{}
		var payloads atomic.Int64
		for name, zone := range zones {
			m := f.newNetwork(name, zone, 1, nil)
			m.Piggyback("note", func(ident.VMName) []byte { return []byte("v7") }, func(_ Member, p []byte) {
				if string(p) == "v7" && m.cfg.Self.Name == "vm-1" {
					payloads.Add(1)
				}
			})
			meshes[name] = m
			m.Start()
			defer m.Close()
		}
		time.Sleep(15 * time.Second)
		for name, m := range meshes {
			assert.Equal(t, len(memberStates(m)), 5, "view of %s: %v", name, memberStates(m))
			for other, state := range memberStates(m) {
				assert.Equal(t, state, Alive, "%s in the view of %s", other, name)
			}
		}
		assert.Assert(t, payloads.Load() > 0)
		meshes["vm-5"].Leave()
		meshes["vm-5"].Close()
		meshes["vm-2"].Close()
		time.Sleep(20 * time.Second)
		for _, name := range []ident.VMName{"vm-1", "vm-3", "vm-4"} {
			view := memberStates(meshes[name])
			assert.Equal(t, view["vm-2"], Dead, "view of %s", name)
			assert.Equal(t, view["vm-5"], Leaving, "view of %s", name)
		}
		restarted := f.newNetwork("vm-2", "a", 2, nil)
		restarted.Start()
		defer restarted.Close()
		time.Sleep(15 * time.Second)
		assert.Equal(t, memberStates(meshes["vm-4"])["vm-2"], Alive)
	})
}

// Guards against messages that are delivered during a partition, or that are still not
// delivered after it has been repaired.
func TestPartitionedAndRepairedLink(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t)
		var got recorder[string]
		one, two := f.newNetwork("vm-1", "a", 1, nil), f.newNetwork("vm-2", "a", 1, nil)
		two.Handle("text", func(from Member, body cbor.RawMessage) {
			var text string
			assert.Check(t, Decode(body, &text) == nil && from.Name == "vm-1")
			got.add(text)
		})
		one.Start()
		two.Start()
		defer one.Close()
		defer two.Close()
		time.Sleep(3 * time.Second)
		send := func(text string) {
			assert.NilError(t, one.Send(context.Background(), "vm-2", "text", text))
			time.Sleep(time.Second)
		}
		send("before")
		f.faults.Set("vm-1", "vm-2", Fault{Partitioned: true})
		send("lost")
		f.faults.Set("vm-1", "vm-2", Fault{DuplicateRate: 1, Delay: 10 * time.Millisecond})
		send("after")
		assert.DeepEqual(t, got.take(), []string{"before", "after", "after"})
		assert.ErrorIs(t, one.Send(context.Background(), "vm-9", "text", "x"), ErrUnknownVM)
	})
}

// Guards against a process that joins without a certificate of the peer CA, under the
// name of another VM, or with an outdated incarnation.
func TestUnauthenticatedPeersAreRefused(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t)
		var refused recorder[resultcode.Code]
		one := f.newNetwork("vm-1", "a", 1, func(c *Config) {
			c.OnRefused = func(err error) { refused.add(resultcode.Of(err)) }
		})
		one.Start()
		defer one.Close()
		for _, change := range []func(*Config){
			func(c *Config) {
				foreign := newTestCA(t).issue("vm-2")
				foreign.CAPool = f.ca.issue("vm-2").CAPool
				c.Credentials = foreign
			},
			func(c *Config) { c.Credentials = f.ca.issue("vm-3") },
			func(c *Config) { c.Credentials = nil },
		} {
			refused.take()
			m := f.newNetwork("vm-2", "a", 1, change)
			m.Start()
			time.Sleep(time.Second)
			m.Close()
			assert.Equal(t, len(memberStates(one)), 1)
			if m.cfg.Credentials != nil {
				assert.Equal(t, refused.first(), resultcode.MessageStranger)
			}
		}
		newer := f.newNetwork("vm-2", "a", 5, nil)
		newer.Start()
		time.Sleep(time.Second)
		newer.Close()
		refused.take()
		old := f.newNetwork("vm-2", "a", 4, nil)
		old.Start()
		time.Sleep(time.Second)
		old.Close()
		assert.Equal(t, refused.first(), resultcode.MessageStranger)
	})
}

// Guards against accepting a frame on an authenticated connection that has another
// protocol version, is malformed, exceeds the size limit, or names another sender.
func TestInvalidFramesAreRefused(t *testing.T) {
	envelope := func(change func(*Envelope)) []byte {
		e := Envelope{Version: ProtocolVersion, Kind: "text", From: "vm-2", Incarnation: 1, Body: []byte{0x01}}
		change(&e)
		bytes, err := cbor.Marshal(e)
		assert.NilError(t, err)
		return bytes
	}
	for _, c := range []struct {
		name  string
		bytes []byte
		want  resultcode.Code
	}{
		{"version", envelope(func(e *Envelope) { e.Version = 2 }), resultcode.MessageVersion},
		{"form", []byte{0xff, 0x00}, resultcode.MessageMalformed},
		{"size", make([]byte, maxFrameBytes+1), resultcode.MessageMalformed},
		{"sender", envelope(func(e *Envelope) { e.From = "vm-3" }), resultcode.MessageStranger},
		{"incarnation", envelope(func(e *Envelope) { e.Incarnation = 2 }), resultcode.MessageStranger},
		{"detector", envelope(func(e *Envelope) { e.Kind = kindDetector }), resultcode.MessageMalformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				f := newFleet(t)
				var refused recorder[resultcode.Code]
				one := f.newNetwork("vm-1", "a", 1, func(cfg *Config) {
					cfg.OnRefused = func(err error) { refused.add(resultcode.Of(err)) }
				})
				one.Handle("text", func(Member, cbor.RawMessage) { t.Error("invalid frame was delivered") })
				two := f.newNetwork("vm-2", "a", 1, nil)
				one.Start()
				defer one.Close()
				defer two.Close()
				conn, _, err := two.dial(context.Background(), "127.0.0.1:7001", "vm-1")
				assert.NilError(t, err)
				defer conn.CloseNow()
				go conn.Write(context.Background(), websocket.MessageBinary, c.bytes)
				_, _, err = conn.Read(context.Background())
				assert.Assert(t, err != nil)
				time.Sleep(10 * time.Second)
				assert.DeepEqual(t, refused.take(), []resultcode.Code{c.want})
			})
		})
	}
}

// Guards against a full queue that drops messages of other kinds or the newest one, and
// against sending expired messages after an outage.
func TestQueueDropsOldestOfTheKind(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		m := &Network{closed: true}
		l := &link{network: m, wake: make(chan struct{}, 1)}
		l.push(frame{kind: "other", queued: time.Now()})
		for i := range maxQueuedPerKind + 1 {
			l.push(frame{kind: "bulk", bytes: []byte{byte(i)}, queued: time.Now()})
		}
		first, _ := l.pop()
		second, _ := l.pop()
		assert.Equal(t, first.kind, Kind("other"))
		assert.Equal(t, second.bytes[0], byte(1))
		assert.Equal(t, m.counters.dropped.Get("bulk").String(), "1")
		time.Sleep(maxQueueAge + 1)
		_, ok := l.pop()
		assert.Assert(t, !ok)
	})
}

// Guards against unencrypted connections to addresses other than loopback.
func TestPlainModeRequiresLoopback(t *testing.T) {
	_, err := New(Config{Self: Member{Name: "vm-1", Zone: "a", Address: "192.0.2.1:7000"}})
	assert.Assert(t, resultcode.Is(err, resultcode.SettingsTLS))
}

// Guards against certificates that take effect only after a restart, and against an
// invalid file that disables the previous certificate.
func TestCertificateFilesReload(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		a, dir := newTestCA(t), t.TempDir()
		files := a.writeFiles(dir, a.issue("vm-1"))
		faults := 0
		files.OnError = func(error) { faults++ }
		first, _, err := files.Current()
		assert.NilError(t, err)
		a.writeFiles(dir, a.issue("vm-1"))
		later := time.Unix(1<<32, 0) // file modification times are not in virtual time
		assert.NilError(t, os.Chtimes(files.CertFile, later, later))
		time.Sleep(2 * certfiles.CheckInterval)
		second, _, err := files.Current()
		assert.NilError(t, err)
		assert.Assert(t, string(first.Certificate[0]) != string(second.Certificate[0]))
		assert.NilError(t, os.Remove(files.KeyFile))
		time.Sleep(2 * certfiles.CheckInterval)
		third, _, err := files.Current()
		assert.NilError(t, err)
		assert.Equal(t, string(third.Certificate[0]), string(second.Certificate[0]))
		assert.Equal(t, faults, 1)
	})
}
