package soak

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/platform/platformtest"
)

// Guards against broken messages that are valid, so that nothing is rejected, against sound ones
// that are not, and against pieces that change the bytes.
func TestOddMessages(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 5000 {
		sent := broken(rng, soundMessage(rng, "a1"), "f1")
		_, _, _, err := platformtest.CutMessage([]byte(sent))
		assert.ErrorIs(t, err, platformtest.ErrLineEnd, "%q", sent)
		sent = broken(rng, startupMessage(rng), "f1")
		_, _, _, err = platformtest.CutMessage([]byte(sent))
		assert.ErrorIs(t, err, platformtest.ErrLineEnd, "%q", sent)
		for _, message := range []string{soundMessage(rng, "a1"), invalidStatement(rng, "a1"), startupMessage(rng)} {
			got, rest, complete, err := platformtest.CutMessage([]byte(message + "\r\n"))
			assert.Assert(t, got == message && len(rest) == 0 && complete && err == nil, "%q", message)
		}
		assert.Equal(t, strings.Join(pieces(rng, sent), ""), sent)
	}
	for range 50 {
		_, _, _, err := platformtest.CutMessage([]byte(tooLarge(rng, largeStart(rng, "a1"), "f1")))
		assert.ErrorIs(t, err, platformtest.ErrTooLarge)
	}
}

// Guards against a check that passes whatever members run: each statement that no client has sent
// as it is, for its organisation, in its order and before a rejected message is found.
func TestSentCheckFindsForgedStatements(t *testing.T) {
	var log sentLog
	send := func(parts ...string) {
		connection := log.open()
		for _, part := range parts {
			connection.record([]byte(part))
		}
	}
	send("CONNECT orders key-main\r\nQUERY a1 WRITE item x ", "\t\r", "\nQUERY a2 READ item\r\nQUERY a3 SET n v\r\n",
		"QUERY a4 WRITE item first\nQUERY f1 WRITE other not-sent\r\nQUERY f2 READ item\r\n")
	send("CONNECT orders temporary-1\r\nQUERY b1 READ item\r\nQUERY b2 WRITE item half")
	send("CONNECT orders key-main\r\nQUERY c1 READ item\r\nQUIT\r\nQUERY f3 READ item\r\n")
	send("CONNECT orders key-main\rQUERY f4 READ item\r\n", "QUERY f5 READ item\r\n")
	send("CONNECT other key-main\r\nQUERY f6 READ item\r\n")
	send("QUERY f7 READ item\r\n")
	statements := log.statements()
	at := func(organisation, id, text string) platformtest.Arrival {
		return platformtest.Arrival{Member: "m1", Organisation: organisation, ID: id, Text: text, Connection: 1}
	}
	for _, a := range []platformtest.Arrival{
		at("main", "a1", "WRITE item x \t"), at("main", "a2", "READ item"), at("main", "a2", platformtest.PositionPrefix+" 1.2 READ item"), at("main", "a3", "SET n v"),
		at("temporary-1", "b1", "READ item"), at("main", "c1", "READ item"), at("main", "-", "SET n v"), at("main", "-", platformtest.PositionPrefix+" 2.7 BEGIN READ"),
		at("main", "-", "DISCARD"), at("main", "-", "STEPDOWN 3"), at("", "-", "STATUS"),
	} {
		assert.DeepEqual(t, statements.check([]platformtest.Arrival{a}), []string(nil))
	}
	for _, a := range []platformtest.Arrival{
		at("main", "a1", "WRITE item x"), at("main", "a1", "WRITE item x  "), at("main", "a1", platformtest.PositionPrefix+" x WRITE item x \t"), at("main", "a2", "READ  item"),
		at("temporary-1", "a2", "READ item"), at("main", "a4", "WRITE item first"), at("main", "f1", "WRITE other not-sent"), at("main", "f2", "READ item"),
		at("temporary-1", "b2", "WRITE item half"), at("main", "f3", "READ item"), at("main", "f4", "READ item"), at("main", "f5", "READ item"),
		at("main", "f6", "READ item"), at("main", "f7", "READ item"), at("main", "", "READ item"), at("main", "-", "READ item"),
		at("main", "-", "SET n other"), at("temporary-1", "-", "SET n v"), at("main", "-", "WRITE other not-sent"), at("main", "-", "STEPDOWN 3 x"),
	} {
		assert.Equal(t, len(statements.check([]platformtest.Arrival{a})), 1, "%q %q", a.ID, a.Text)
	}
	first, second := at("main", "a1", "WRITE item x \t"), at("main", "a2", "READ item")
	assert.Equal(t, len(statements.check([]platformtest.Arrival{first, second})), 0)
	assert.Equal(t, len(statements.check([]platformtest.Arrival{second, first})), 1, "the other order on one connection")
	first.Connection = 2
	assert.Equal(t, len(statements.check([]platformtest.Arrival{second, first})), 0, "a retry on another connection")
}

// Guards against responses of another statement, lost statements and run rejections that pass.
func TestAnswersBelongToTheirStatements(t *testing.T) {
	type reply = platformtest.Reply
	for _, c := range []struct {
		text  string
		reply reply
		good  bool
	}{
		{"WRITE item a \t", reply{Tag: "mac-WRITE_item_a_\t"}, true},
		{"WRITE item a \t", reply{Tag: "mac-WRITE_item_a"}, false},
		{"READ item", reply{Tag: "mac-READ_item", Rows: []string{""}}, true},
		{"READ item", reply{Tag: "mac-READ_item"}, false},
		{"READ item", reply{Tag: "-"}, false},
		{"SET n v", reply{Tag: "-"}, true},
		{"SET n v", reply{Tag: "mac-SET_n_v"}, false},
		{"BEGIN", reply{Tag: "-", Rows: []string{"x"}}, false},
		{"READ item", reply{Code: "BUSY"}, true},
	} {
		assert.Equal(t, checkAnswer("a1", c.text, c.reply) == "", c.good, "%q %v", c.text, c.reply)
	}
	arrived := []platformtest.Arrival{{Member: "m1"}}
	for _, c := range []struct {
		request  request
		arrivals []platformtest.Arrival
		good     bool
	}{
		{request{verb: "READ"}, arrived, true},
		{request{verb: "READ"}, nil, false},
		{request{verb: "SET"}, nil, true},
		{request{verb: "READ", code: "BUSY"}, nil, true},
		{request{verb: "READ", code: codeMalformed}, arrived, false},
		{request{verb: "READ", code: codeTooBig}, arrived, false},
		{request{verb: "READ", end: closed}, nil, true},
	} {
		assert.Equal(t, c.request.checkArrivals(c.arrivals) == "", c.good, "%+v", c.request)
	}
}

// Guards against rejected messages without a response that are excused without a cause.
func TestRejectionsWithoutResponse(t *testing.T) {
	sent := time.Unix(1000, 0)
	stopped, killed, running := &process{vm: "vm-1"}, &process{vm: "vm-1"}, &process{vm: "vm-2"}
	c := &stopCheck{signals: map[*process]signals{
		stopped: {terminatedAt: sent.Add(-time.Second)}, killed: {terminatedAt: sent.Add(-time.Second), killedAt: sent.Add(time.Second)},
	}}
	lost := func(p *process, end requestEnd, after time.Duration) rejection {
		return rejection{request{process: p, sentAt: sent, endedAt: sent.Add(after), end: end}, "no response"}
	}
	count := func(r rejection) int { return len(c.rejections([]rejection{r})) }
	assert.Equal(t, count(lost(running, closed, 2*time.Second)), 1)
	assert.Equal(t, count(lost(stopped, closed, lossSlack)), 0)
	assert.Equal(t, count(lost(stopped, closed, 2*lossSlack)), 1, "read by the VM")
	assert.Equal(t, count(lost(killed, closed, 2*lossSlack)), 0)
	c.signals[stopped] = signals{terminatedAt: sent.Add(time.Second)}
	assert.Equal(t, count(lost(stopped, closed, lossSlack)), 1, "before SIGTERM")
	c.starved = []starvation{{vm: "vm-2", from: sent, to: sent.Add(time.Second), delay: time.Second}}
	assert.Equal(t, count(lost(running, gaveUp, 4*time.Second)), 0)
	assert.Equal(t, count(lost(running, closed, 4*time.Second)), 1)
	c.disruptions = []disruption{{vm: "vm-1", from: sent}, {store: true, from: sent}, {member: "m1", from: sent}}
	assert.Equal(t, count(lost(running, closed, 4*time.Second)), 1, "of others")
	c.disruptions = append(c.disruptions, disruption{vm: "vm-2", from: sent.Add(-time.Minute), to: sent.Add(-contactTime)})
	assert.Equal(t, count(lost(running, closed, 4*time.Second)), 0)
}
