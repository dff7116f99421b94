package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

// newID returns an id that no other statement of this run has.
func newID() string { return fmt.Sprintf("%016x", 0x5c0e7a0000000000+lastID.Add(1)) }

// client is a requester's session.
type client struct {
	name   string
	record *record
	conn   net.Conn
	in     *bufio.Reader
}

// answer is the response to a statement.
type answer struct {
	id    string
	rows  []string
	mac   string
	code  string // of the error; empty after a success
	state string
	// sentAt is when the first byte of the statement was sent.
	sentAt, at time.Time
}

// member returns the member that ran the statement, according to its MAC.
func (a answer) member() string {
	parts := strings.Split(a.mac, ".")
	if len(parts) != 3 {
		return ""
	}
	return parts[1]
}

func dialClient(r *record, name, address, database, key string) (*client, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{name: name, record: r, conn: conn, in: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err = fmt.Fprintf(conn, "CONNECT %s %s\r\n", database, key); err == nil {
		var line string
		if line, err = c.in.ReadString('\n'); err == nil && !strings.HasPrefix(line, "READY ") {
			err = errors.New(strings.TrimSpace(line))
		}
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

// query sends a statement and reads the response.
func (c *client) query(text string) (answer, error) {
	a := answer{id: newID(), sentAt: time.Now()}
	c.record.add("%s sends %s %q", c.name, a.id, text)
	_ = c.conn.SetDeadline(time.Now().Add(4 * time.Second))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", a.id, text); err != nil {
		c.record.add("%s cannot send: %v", c.name, err)
		return a, err
	}
	for {
		line, err := c.in.ReadString('\n')
		if err != nil {
			c.record.add("%s gets no answer to %s: %v", c.name, a.id, err)
			return a, err
		}
		word, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.mac = rest
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
			c.record.add("%s gets for %s: %s", c.name, a.id, strings.TrimSpace(line))
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			a.at = time.Now()
			if a.code == "" {
				c.record.add("%s gets for %s: %v %s", c.name, a.id, a.rows, a.mac)
			}
			return a, nil
		}
	}
}

func (c *client) close() { _ = c.conn.Close() }
