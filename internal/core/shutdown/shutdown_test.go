package shutdown

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/rosemarywall/rosemarywall/internal/fixedseed"
)

const propagation = 2200 * time.Millisecond

func drawSchedule(t *rapid.T) Schedule {
	grace := time.Duration(rapid.Int64Range(int64(time.Second), int64(time.Minute)).Draw(t, "grace"))
	return NewSchedule(grace, time.Duration(rapid.Int64Range(0, int64(grace)).Draw(t, "propagation")))
}

func drawTime(t *rapid.T, name string, limit time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(limit)).Draw(t, name))
}

// Guards against a schedule whose stages are out of order or that leaves no time to respond or
// to exit.
func TestStagesLeaveTimeForResponses(t *testing.T) {
	assert.DeepEqual(t, NewSchedule(6*time.Second, propagation), Schedule{
		CloseIdle: 2 * time.Second, RollBack: 3 * time.Second, EndStatements: 4900 * time.Millisecond, End: 5300 * time.Millisecond, Exit: 5650 * time.Millisecond,
	})
	rapid.Check(t, func(t *rapid.T) {
		grace := drawTime(t, "grace", time.Minute) + time.Second
		s := NewSchedule(grace, drawTime(t, "propagation", grace))
		if s.CloseIdle > s.RollBack || s.RollBack >= s.EndStatements || s.EndStatements >= s.End || s.End >= s.Exit || s.Exit >= grace {
			t.Fatalf("%+v", s)
		}
	})
}

// Guards against a drain that rolls back transactions early, that leaves no time for running
// statements, their cancellation or the responses, or that waits although its time is zero.
func TestStagesOfDrain(t *testing.T) {
	assert.DeepEqual(t, NewDrainSchedule(30*time.Second), Schedule{
		RollBack: 22900 * time.Millisecond, CancelStatements: 27900 * time.Millisecond, EndStatements: 28900 * time.Millisecond, End: 29300 * time.Millisecond,
		Exit: 29650 * time.Millisecond,
	})
	clients := Outstanding{Clients: 1}
	assert.Equal(t, NewDrainSchedule(0).StageAt(0, clients), Ended)
	rapid.Check(t, func(t *rapid.T) {
		s := NewDrainSchedule(time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(time.Hour)).Draw(t, "drain")))
		if s.CloseIdle != 0 || s.RollBack <= 0 || s.RollBack >= s.CancelStatements || s.CancelStatements >= s.EndStatements || s.EndStatements >= s.End {
			t.Fatalf("%+v", s)
		}
		for at, want := range map[time.Duration]Stage{
			0: Closing, s.RollBack - 1: Closing, s.RollBack: RollingBack, s.CancelStatements: Cancelling, s.EndStatements: Ending, s.End: Ended,
		} {
			if got := s.StageAt(at, clients); got != want {
				t.Fatalf("%v at %v of %+v", got, at, s)
			}
		}
	})
}

// Guards against a statement that is begun so late that it may still run when running
// statements are ended.
func TestAdmittedWorkEndsInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSchedule(t)
		at, timeout := drawTime(t, "at", s.End), drawTime(t, "timeout", time.Hour)
		if at >= s.CloseIdle && s.AdmitsStatement(at, timeout) && at+timeout > s.EndStatements {
			t.Fatalf("a statement of up to %v is begun at %v of %+v", timeout, at, s)
		}
		if at >= s.CloseIdle && s.AdmitsTransaction(at, timeout) && at+timeout > s.RollBack {
			t.Fatalf("a transaction with statements of up to %v is begun at %v of %+v", timeout, at, s)
		}
		if at < s.CloseIdle && !s.AdmitsStatement(at, timeout) {
			t.Fatalf("a statement is refused at %v of %+v, while clients are still sent here", at, s)
		}
	})
}

// Guards against a process that ends while something is outstanding and time is left, or
// that stays without work.
func TestProcessEndsOnceNothingIsOutstanding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSchedule(t)
		count := rapid.IntRange(0, 2)
		o := Outstanding{
			Clients: count.Draw(t, "clients"), Statements: count.Draw(t, "statements"), Transactions: count.Draw(t, "transactions"),
			Quiet: drawTime(t, "quiet", time.Second),
		}
		previous := Announced
		for at := time.Duration(0); at <= s.End; at += s.End / 50 {
			stage := s.StageAt(at, o)
			if stage < previous {
				t.Fatalf("stage %v after %v", stage, previous)
			}
			previous = stage
			left := o.Clients + o.Statements + o.Transactions
			if stage == Ended && at < s.End && (left > 0 || at < s.CloseIdle || o.Quiet < minQuietTime) {
				t.Fatalf("ended at %v of %+v with %+v", at, s, o)
			}
			if stage != Ended && at >= s.CloseIdle && left == 0 && o.Quiet >= minQuietTime {
				t.Fatalf("%v at %v of %+v with %+v", stage, at, s, o)
			}
		}
	})
}

// Guards against a session that is closed inside a transaction, in the middle of a message,
// or before clients are sent elsewhere, and against one that is never closed.
func TestWaitOfSessions(t *testing.T) {
	for _, c := range []struct {
		name    string
		session Session
		stage   Stage
		wait    time.Duration
		action  Action
	}{
		{"idle", Session{}, Running, 0, KeepWaiting},
		{"idle while clients arrive", Session{}, Announced, 0, KeepWaiting},
		{"idle", Session{}, Closing, QuietPeriod, CloseSession},
		{"half a message", Session{Partial: true}, Ending, 0, KeepWaiting},
		{"half a message at the end", Session{Partial: true}, Ended, 0, CloseSession},
		{"idle transaction", Session{InTransaction: true, IdleLimit: 5, IdleFor: 2}, Closing, 3, RollBack},
		{"idle transaction beyond its limit", Session{InTransaction: true, IdleLimit: 5, IdleFor: 7}, Running, 0, RollBack},
		{"transaction without a limit", Session{InTransaction: true}, Closing, 0, KeepWaiting},
		{"transaction", Session{InTransaction: true}, RollingBack, 0, RollBack},
		{"transaction that is rolled back", Session{InTransaction: true, RolledBack: true}, Ending, 0, KeepWaiting},
		{"transaction at the end", Session{InTransaction: true}, Ended, 0, CloseSession},
	} {
		wait, action := c.session.Wait(c.stage)
		assert.Equal(t, wait, c.wait, "%s, %v", c.name, c.stage)
		assert.Equal(t, action, c.action, "%s, %v", c.name, c.stage)
	}
}
