package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rosemarywall/rosemarywall/platform/platformtest"
)

// sentLog holds the bytes that clients sent, by connection. They are recorded before they are
// sent.
type sentLog struct {
	mu          sync.Mutex
	connections []*sentBytes
}

// sentBytes are the bytes of one connection.
type sentBytes struct {
	mu    sync.Mutex
	bytes []byte
}

// open returns the record of a new connection.
func (l *sentLog) open() *sentBytes {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &sentBytes{}
	l.connections = append(l.connections, s)
	return s
}

func (s *sentBytes) record(sent []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bytes = append(s.bytes, sent...)
}

// messages returns the messages before the first one with invalid boundaries.
func (s *sentBytes) messages() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var messages []string
	for rest := s.bytes; ; {
		message, after, complete, err := platformtest.CutMessage(rest)
		if err != nil || !complete {
			return messages
		}
		messages, rest = append(messages, message), after
	}
}

// sentStatement is a statement of a client.
type sentStatement struct {
	organisation, text string
	// connection and position are the numbers of the client's connection and of the message.
	connection, position int
}

// sentStatements are the statements that members may run.
type sentStatements struct {
	byID map[string][]sentStatement
	// restored are the texts that VMs may repeat without an id, by organisation.
	restored map[[2]string]bool
}

// statements returns the statements of all clients.
func (l *sentLog) statements() sentStatements {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := sentStatements{byID: map[string][]sentStatement{}, restored: map[[2]string]bool{}}
	for n, connection := range l.connections {
		messages := connection.messages()
		if len(messages) == 0 {
			continue
		}
		startup := strings.SplitN(messages[0], " ", 3)
		if len(startup) < 3 || startup[0] != "CONNECT" || !slices.Contains([]string{primaryRoute, boundedRoute, sessionRoute}, startup[1]) {
			continue
		}
		for position, message := range messages[1:] {
			parts := strings.SplitN(message, " ", 3)
			if parts[0] == "QUIT" {
				break
			}
			if len(parts) < 3 || parts[0] != "QUERY" {
				continue
			}
			s := sentStatement{organisation: organisationOf(startup[2]), text: parts[2], connection: n, position: position}
			out.byID[parts[1]] = append(out.byID[parts[1]], s)
			out.restored[[2]string{s.organisation, s.text}] = true
		}
	}
	return out
}

// organisationOf returns the organisation that a key belongs to.
func organisationOf(key string) string {
	switch key {
	case mainKey:
		return "main"
	case smallKey:
		return "small"
	}
	return key // those of temporary organisations are their names
}

// check compares the queries that one member received, in order, with what clients sent.
func (s sentStatements) check(arrivals []platformtest.Arrival) []string {
	var found []string
	newest := map[[2]int]int{} // position by connections of the client and to the member
	for _, a := range arrivals {
		text := withoutPosition(a.Text)
		if a.ID == noID {
			if !s.mayRepeat(a.Organisation, text) {
				found = append(found, fmt.Sprintf("%s received %.120q of %s without an id, which no client has sent", a.Member, a.Text, a.Organisation))
			}
			continue
		}
		i := slices.IndexFunc(s.byID[a.ID], func(sent sentStatement) bool {
			return sent.organisation == a.Organisation && (sent.text == text || sent.text == a.Text)
		})
		if i < 0 {
			found = append(found, fmt.Sprintf("%s received %.120q as %.40q of %s, which no client has sent", a.Member, a.Text, a.ID, a.Organisation))
			continue
		}
		sent := s.byID[a.ID][i]
		order := [2]int{sent.connection, a.Connection}
		if sent.position < newest[order] {
			found = append(found, fmt.Sprintf("%s received %.40q after a later statement of its session", a.Member, a.ID))
		}
		newest[order] = max(newest[order], sent.position)
	}
	return found
}

// noID is the id of queries that a VM makes itself.
const noID = "-"

// mayRepeat reports whether a VM may send a text without an id: its own commands, and what
// restores the state of a session.
func (s sentStatements) mayRepeat(organisation, text string) bool {
	verb, _, _ := strings.Cut(text, " ")
	switch verb {
	case "SET", "PARSE", "CLOSE":
		return s.restored[[2]string{organisation, text}]
	case "PAUSE", "STEPDOWN":
		return strings.Count(text, " ") == 1
	}
	return slices.Contains([]string{"BEGIN", "BEGIN READ", "ROLLBACK", "DISCARD", "STATUS", "RESUME"}, text)
}

// withoutPosition strips the position that VMs may add.
func withoutPosition(text string) string {
	rest, ok := strings.CutPrefix(text, platformtest.PositionPrefix+" ")
	if !ok {
		return text
	}
	point, rest, _ := strings.Cut(rest, " ")
	if strings.Trim(point, ".0123456789") != "" {
		return text
	}
	return rest
}

// checkSent compares what members received, and what clients were told of it, with what was sent.
func (f *fleet) checkSent() {
	statements, received := f.sent.statements(), f.group.Arrivals()
	for _, id := range f.group.MemberIDs() {
		for _, violation := range statements.check(f.group.ArrivalsAt(id, time.Time{})) {
			f.history.violate("%s", violation)
		}
	}
	f.requests.mu.Lock()
	defer f.requests.mu.Unlock()
	for _, r := range f.requests.requests {
		if violation := r.checkArrivals(received[r.id]); violation != "" {
			f.history.violate("%s", violation)
		}
	}
}

// checkArrivals compares the response to a statement with whether members received it.
func (r request) checkArrivals(arrivals []platformtest.Arrival) string {
	switch {
	case r.end != answered:
	case r.code == "" && runsAtMember(r.verb) && len(arrivals) == 0:
		return fmt.Sprintf("%.40q was answered without a member that received it", r.id)
	case (r.code == codeMalformed || r.code == codeTooBig) && len(arrivals) > 0:
		return fmt.Sprintf("%.40q was rejected with %s, but %s received it", r.id, r.code, arrivals[0].Member)
	}
	return ""
}

// runsAtMember reports whether a statement is answered by a member.
func runsAtMember(verb string) bool {
	return slices.Contains([]string{"READ", "WRITE", "EXECUTE", "COMMIT"}, verb)
}

// checkAnswer returns how a response to a statement differs from what the member answers, or "".
func checkAnswer(id, text string, reply platformtest.Reply) string {
	verb, _, _ := strings.Cut(text, " ")
	if reply.Code != "" {
		return ""
	}
	tag, rows := noID, 0
	if runsAtMember(verb) {
		tag = "mac-" + strings.ReplaceAll(text, " ", "_")
	}
	if verb == "READ" {
		rows = 1
	}
	switch {
	case reply.Tag != tag:
		return fmt.Sprintf("%.40q got the tag %.120q of another statement than %.120q", id, reply.Tag, text)
	case verb != "EXECUTE" && len(reply.Rows) != rows:
		return fmt.Sprintf("%.40q got %d rows for %.120q", id, len(reply.Rows), text)
	}
	return ""
}
