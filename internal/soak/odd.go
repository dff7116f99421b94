package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/platform/platformtest"
)

const (
	// oddCallers is the number of callers with odd bytes, few beside the other ones.
	oddCallers = 3
	// oddStream is the first random stream of these callers, and stopPiecesStream that of the
	// messages that SIGTERM interrupts.
	oddStream        = usageStream + 1
	stopPiecesStream = oddStream + oddCallers
	// interruptedPerStop is the number of messages around a SIGTERM, two to a VM.
	interruptedPerStop = 6
	// oddPause bounds the pauses between the pieces of a message and between sessions.
	oddPause = 60 * time.Millisecond
	// beforeStop and afterStop bound the times around SIGTERM at which the two parts of a
	// message are sent.
	beforeStop, afterStop = 200 * time.Millisecond, 900 * time.Millisecond
)

// Error codes of rejected messages.
const (
	codeMalformed = "MALFORMED"
	codeTooBig    = "TOOBIG"
)

// refusedCodes are those of refused sessions.
var refusedCodes = []string{codeMalformed, "NODB", "NOAUTH", "BUSY"}

// OddCounts counts the messages with odd bytes.
type OddCounts struct {
	// Executed are the statements that succeeded, Rejected the messages that got their error
	// and then the end of the connection, Halves those that the client broke off.
	Executed, Rejected, Halves int64
	// Large are the executed ones whose message was at most two bytes below the maximum size.
	Large int64
	// Interrupted are the statements that were answered and whose message began before SIGTERM
	// to the VM and ended after it.
	Interrupted int64
}

// oddCounters are those of a run.
type oddCounters struct{ executed, rejected, halves, large, interrupted atomic.Int64 }

func (c *oddCounters) counts() OddCounts {
	return OddCounts{
		Executed: c.executed.Load(), Rejected: c.rejected.Load(), Halves: c.halves.Load(), Large: c.large.Load(), Interrupted: c.interrupted.Load(),
	}
}

// rejection is a message with invalid boundaries that did not get its error, or not the end of
// the connection.
type rejection struct {
	request
	problem string
}

// oddCaller is a client that sends unusual and invalid bytes.
type oddCaller struct {
	fleet *fleet
	n     int
	rng   *rand.Rand
	last  int
}

// startOdd starts the callers with odd bytes.
func (f *fleet) startOdd(ctx context.Context, running *sync.WaitGroup, plan []Fault) {
	for n := range oddCallers {
		c := &oddCaller{fleet: f, n: n, rng: rand.New(rand.NewPCG(f.options.Seed, oddStream+uint64(n)))}
		running.Go(func() {
			for ctx.Err() == nil {
				c.session()
				c.pause()
			}
		})
	}
	started := time.Now()
	rng := rand.New(rand.NewPCG(f.options.Seed, stopPiecesStream))
	for n, fault := range plan {
		for k := range interruptedPerStop {
			before, after := between(rng, 0, beforeStop), between(rng, 0, afterStop)
			number := uint64(n*interruptedPerStop + k)
			c := &oddCaller{fleet: f, n: oddCallers + int(number), rng: rand.New(rand.NewPCG(f.options.Seed, stopPiecesStream+1+number))}
			if !fault.Kind.stops() {
				continue
			}
			running.Go(func() {
				select {
				case <-ctx.Done():
				case <-time.After(time.Until(started.Add(fault.At - before))):
					c.interrupted(fault.Target+len(zones)*(k/2), before+after) // VMs of one zone
				}
			})
		}
	}
}

// stops reports whether a kind sends SIGTERM.
func (k Kind) stops() bool {
	switch k {
	case StopVM, StopZone, StopFleet, StopTwice, StopPair, StopSeries, ReloadStop:
		return true
	}
	return false
}

func (c *oddCaller) pause() { time.Sleep(time.Duration(c.rng.Int64N(int64(oddPause)))) }

// nextID returns a unique id, with odd bytes in a third of the cases.
func (c *oddCaller) nextID() string {
	c.last++
	id := fmt.Sprintf("odd%d-%d", c.n, c.last)
	if c.rng.IntN(3) == 0 {
		id += pick(c.rng, oddNames)
	}
	return id
}

// item returns a unique item.
func (c *oddCaller) item() string {
	c.last++
	return fmt.Sprintf("odd%d.%d%s", c.n, c.last, pick(c.rng, oddNames))
}

func (c *oddCaller) session() {
	vm := c.rng.IntN(1 << 16)
	if c.rng.IntN(6) == 0 {
		c.startup(vm)
		return
	}
	route := pick(c.rng, []string{primaryRoute, sessionRoute, boundedRoute})
	s, reply, err := c.fleet.dial(vm, route, mainKey)
	if err != nil || reply.Code != "" {
		return
	}
	defer s.Close()
	for range c.rng.IntN(4) {
		if !c.sound(s, route != boundedRoute) {
			return
		}
		c.pause()
	}
	if route != boundedRoute && c.rng.IntN(3) == 0 { // what follows must end the transaction
		for _, text := range []string{"BEGIN", "WRITE " + c.item() + " not-committed"} {
			id := c.nextID()
			c.fleet.history.notCommitted(id)
			if reply, err := c.ask(s, id, text); err != nil || reply.Code != "" {
				return
			}
		}
	}
	switch c.rng.IntN(4) {
	case 0:
		c.half(s, soundMessage(c.rng, c.nextID()))
	case 1, 2:
		c.reject(s, broken(c.rng, soundMessage(c.rng, c.nextID()), c.nextID()), codeMalformed)
	default:
		if c.rng.Float64() < 4*largeShare {
			c.reject(s, tooLarge(c.rng, largeStart(c.rng, c.nextID()), c.nextID()), codeTooBig)
		}
	}
}

// startup begins a connection with an invalid message, or breaks off within it.
func (c *oddCaller) startup(vm int) {
	s, err := c.fleet.open(vm)
	if err != nil {
		return
	}
	defer s.Close()
	message := startupMessage(c.rng)
	switch x := c.rng.Float64(); {
	case x < largeShare:
		c.reject(s, tooLarge(c.rng, message+" ", c.nextID()), codeTooBig)
	case x < 0.25:
		c.half(s, message)
	case x < 0.5:
		c.reject(s, refusedStartup(c.rng, c.nextID()), refusedCodes...)
	default:
		c.reject(s, broken(c.rng, message, c.nextID()), codeMalformed)
	}
}

// half sends the beginning of a message.
func (c *oddCaller) half(s *session, message string) {
	message += pick(c.rng, []string{"\r", "x"})
	for _, piece := range pieces(c.rng, message[:1+c.rng.IntN(len(message))]) {
		if s.Send([]byte(piece)) != nil {
			return
		}
		c.pause()
	}
	c.fleet.odd.halves.Add(1)
}

// interrupted sends a message whose last part follows after a time, in which the VM gets SIGTERM.
func (c *oddCaller) interrupted(vm int, after time.Duration) {
	s, reply, err := c.fleet.dial(vm, primaryRoute, mainKey)
	if err != nil || reply.Code != "" {
		return
	}
	defer s.Close()
	id, item := c.nextID(), c.item()
	data := "first QUERY " + c.nextID() + " WRITE other not-sent" + pick(c.rng, oddData)
	text := "WRITE " + item + " " + data
	message := "QUERY " + id + " " + text + "\r\n"
	forged := 1 + strings.Index(message[1:], "QUERY odd")
	if c.rng.IntN(4) == 0 { // the forged message stands behind an invalid line end
		message = message[:forged-1] + pick(c.rng, []string{"\n", "\r"}) + message[forged:]
		c.rejectPieces(s, []string{message[:forged], message[forged:]}, func() { time.Sleep(after) }, codeMalformed)
		return
	}
	at := pick(c.rng, []int{forged, len(message) - 1, 1 + c.rng.IntN(len(message)-1)})
	var begun time.Time
	reply, err = s.ask(id, text, func() {
		begun = time.Now()
		time.Sleep(after)
	}, message[:at], message[at:])
	c.wrote(id, item, reply, err)
	if err != nil {
		return
	}
	c.executed(id, text, len(message), reply)
	stopped := c.fleet.vms[vm%len(c.fleet.vms)].allSignals()[s.process].terminatedAt
	if stopped.After(begun) && stopped.Before(s.SentAt()) {
		c.fleet.odd.interrupted.Add(1)
	}
}

// ask runs a statement whose message is sent in pieces.
func (c *oddCaller) ask(s *session, id, text string) (platformtest.Reply, error) {
	message := "QUERY " + id + " " + text + "\r\n"
	reply, err := s.ask(id, text, c.pause, pieces(c.rng, message)...)
	if err == nil {
		c.executed(id, text, len(message), reply)
	}
	return reply, err
}

// executed counts a sound statement, which must not be rejected.
func (c *oddCaller) executed(id, text string, length int, reply platformtest.Reply) {
	switch {
	case reply.Code == codeMalformed || reply.Code == codeTooBig:
		c.fleet.history.violate("%q, %.120q of allowed bytes, got %s", id, text, reply.Code)
	case reply.Code == "":
		c.fleet.odd.executed.Add(1)
		if length >= platformtest.MaxMessageBytes-2 {
			c.fleet.odd.large.Add(1)
		}
	}
}

// large returns a text whose message is as large as is allowed, or up to two bytes smaller.
func (c *oddCaller) large(id, text string) string {
	return filled(text, platformtest.MaxMessageBytes-len("QUERY "+id+" \r\n")-c.rng.IntN(3))
}

// wrote records the answer to a write or a commit and reports whether it succeeded.
func (c *oddCaller) wrote(id, item string, reply platformtest.Reply, err error) bool {
	return c.fleet.history.wrote(id, item, 1, reply, err) == succeeded
}

// sound runs statements with allowed bytes; false ends the session.
func (c *oddCaller) sound(s *session, writes bool) bool {
	switch n := c.rng.IntN(6); {
	case n == 0:
		return c.set(s)
	case n == 1:
		return c.invalid(s)
	case n == 2 && writes:
		return c.prepared(s)
	case n == 3 && writes:
		return c.transaction(s)
	case n == 4 && writes:
		return c.pipelined(s)
	case writes:
		return c.write(s)
	}
	reply, err := c.ask(s, c.nextID(), "READ "+c.item()+pick(c.rng, oddData))
	return err == nil && reply.State == "I"
}

func (c *oddCaller) set(s *session) bool {
	id, name := c.nextID(), "n"+pick(c.rng, oddNames)
	text := "SET " + name + " " + pick(c.rng, oddData)
	if c.rng.Float64() < largeShare {
		text = c.large(id, text)
	}
	if reply, err := c.ask(s, id, text); err != nil || reply.Code != "" {
		return false
	}
	return c.read(s, "value:"+name, strings.TrimPrefix(text, "SET "+name+" "))
}

// read reads an item or a value whose bytes are known.
func (c *oddCaller) read(s *session, item, want string) bool {
	id := c.nextID()
	reply, err := c.ask(s, id, "READ "+item)
	if err != nil || reply.Code != "" {
		return false
	}
	if len(reply.Rows) != 1 || reply.Rows[0] != want {
		c.fleet.history.violate("%q read %.120q, %.120q was written", id, reply.Rows, want)
	}
	return true
}

func (c *oddCaller) write(s *session) bool {
	id, item, data := c.nextID(), c.item(), pick(c.rng, oddData)
	text := "WRITE " + item + " " + data
	if c.rng.Float64() < largeShare {
		text = c.large(id, text)
		data = strings.TrimPrefix(text, "WRITE "+item+" ")
	}
	reply, err := c.ask(s, id, text)
	return c.wrote(id, item, reply, err) && c.read(s, item, data)
}

// pipelined sends several writes before it receives the first response. Each one counts as sent
// once the one before it was answered.
func (c *oddCaller) pipelined(s *session) bool {
	var ids, items, data, texts []string
	message := ""
	for n := range 2 + c.rng.IntN(3) {
		ids, items, data = append(ids, c.nextID()), append(items, c.item()), append(data, pick(c.rng, oddData))
		texts = append(texts, "WRITE "+items[n]+" "+data[n])
		message += "QUERY " + ids[n] + " " + texts[n] + "\r\n"
	}
	closedBefore, err := s.sendPieces(c.pause, pieces(c.rng, message))
	if err != nil {
		return false
	}
	succeeded, sentAt := true, s.SentAt()
	for n, id := range ids {
		reply, err := s.receive(id, texts[n], sentAt, closedBefore)
		succeeded = c.wrote(id, items[n], reply, err) && succeeded
		if err != nil {
			return false
		}
		sentAt, closedBefore = time.Now(), s.Closed()
	}
	n := c.rng.IntN(len(ids))
	return succeeded && c.read(s, items[n], data[n])
}

// invalid sends a message that is not understood, after which the session goes on.
func (c *oddCaller) invalid(s *session) bool {
	id := c.nextID()
	message := invalidStatement(c.rng, id)
	reply, err := s.ask(id, message, c.pause, pieces(c.rng, message+"\r\n")...)
	if err == nil && reply.Code != codeMalformed {
		c.fleet.history.violate("%.120q, which is no statement, got %q", message, reply.Code)
	}
	return err == nil
}

func (c *oddCaller) prepared(s *session) bool {
	name, item, data := "s"+pick(c.rng, oddNames), c.item(), pick(c.rng, oddData)
	if reply, err := c.ask(s, c.nextID(), "PARSE "+name+" WRITE shape"+pick(c.rng, oddData)); err != nil || reply.Code != "" {
		return false
	}
	id := c.nextID()
	reply, err := c.ask(s, id, "EXECUTE "+name+" "+item+" "+data)
	if !c.wrote(id, item, reply, err) || !c.read(s, item, data) {
		return false
	}
	reply, err = c.ask(s, c.nextID(), "CLOSE "+name)
	return err == nil && reply.Code == ""
}

func (c *oddCaller) transaction(s *session) bool {
	item, data := c.item(), pick(c.rng, oddData)
	for _, text := range []string{"BEGIN", "WRITE " + item + " " + data} {
		if reply, err := c.ask(s, c.nextID(), text); err != nil || reply.Code != "" {
			return false
		}
	}
	id := c.nextID()
	reply, err := c.ask(s, id, "COMMIT")
	return c.wrote(id, item, reply, err) && c.read(s, item, data)
}

// reject sends bytes whose first message has invalid boundaries, in a third of the cases right
// behind the message of a read that must be answered.
func (c *oddCaller) reject(s *session, sent string, codes ...string) {
	parts := pieces(c.rng, sent)
	if id, text := c.nextID(), "READ "+c.item(); s.connected && c.rng.IntN(3) == 0 {
		parts[0] = "QUERY " + id + " " + text + "\r\n" + parts[0]
		if _, err := s.ask(id, text, c.pause, parts...); err == nil {
			c.rejected(s, sent, codes...)
		}
		return
	}
	c.rejectPieces(s, parts, c.pause, codes...)
}

// rejectPieces sends the pieces of a message with invalid boundaries.
func (c *oddCaller) rejectPieces(s *session, parts []string, pause func(), codes ...string) {
	for i, piece := range parts {
		if i > 0 {
			pause()
		}
		if s.Send([]byte(piece)) != nil {
			break // the VM may have rejected the beginning
		}
	}
	c.rejected(s, strings.Join(parts, ""), codes...)
}

// rejected checks that the next response is the error of a rejected message, and that the
// connection ends after it.
func (c *oddCaller) rejected(s *session, sent string, codes ...string) {
	r := rejection{request: request{process: s.process, sentAt: time.Now()}}
	describe := fmt.Sprintf("rejected message %.120q of %d bytes to %s", sent, len(sent), s.process.vm)
	reply, err := s.Receive()
	got := reply.Code
	if got != "" && err == nil {
		reply, err = s.Receive()
	}
	r.end, r.endedAt = endOf(err), time.Now()
	switch {
	case err == nil && got == "":
		c.fleet.history.violate("%s was answered with the tag %.120q", describe, reply.Tag)
	case got != "" && !slices.Contains(codes, got):
		c.fleet.history.violate("%s got %s", describe, got)
	case err == nil:
		c.fleet.history.violate("%s got a second response, %q %.120q", describe, reply.Code, reply.Tag)
	case errors.Is(err, platformtest.ErrLineEnd) || errors.Is(err, platformtest.ErrTooLarge):
		c.fleet.history.violate("%s: the response is invalid: %v", describe, err)
	case got == "" && len(codes) > 1: // a valid startup message may wait for the configuration
	case got == "":
		r.problem = describe + " got no response"
	case r.end == gaveUp:
		r.problem = describe + ": the connection goes on"
	default:
		c.fleet.odd.rejected.Add(1)
	}
	if r.problem != "" {
		c.fleet.requests.reject(r)
	}
}
