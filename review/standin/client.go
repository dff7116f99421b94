package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// client is one session of a requester.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

// answer is the answer to one statement.
type answer struct {
	code  string // empty after success
	rows  []string
	tag   string
	state string
}

// clientTimeout is the time limit of an operation.
const clientTimeout = 2500 * time.Millisecond

var lastID atomic.Uint64

// newID returns an id that no other request has.
func newID(prefix string) string { return fmt.Sprintf("%s%012x", prefix, lastID.Add(1)) }

func dial(address, database string) (*client, error) { return dialWith(address, database, key) }

func dialWith(address, database, key string) (*client, error) {
	conn, err := net.DialTimeout("tcp4", address, clientTimeout)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, in: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(clientTimeout))
	if _, err := conn.Write([]byte("CONNECT " + database + " " + key + "\r\n")); err != nil {
		c.close()
		return nil, err
	}
	a, err := c.receive()
	if err != nil || a.code != "" {
		c.close()
		return nil, fmt.Errorf("no session: %s %w", a.code, err)
	}
	return c, nil
}

func (c *client) close() { _ = c.conn.Close() }

// send writes a part of a message.
func (c *client) send(text string) error {
	_ = c.conn.SetDeadline(time.Now().Add(clientTimeout))
	_, err := c.conn.Write([]byte(text))
	return err
}

// query runs a statement.
func (c *client) query(id, text string) (answer, error) {
	if err := c.send("QUERY " + id + " " + text + "\r\n"); err != nil {
		return answer{}, err
	}
	return c.receive()
}

// receive reads an answer up to READY, or the ERROR that refuses a session.
func (c *client) receive() (answer, error) {
	var a answer
	for {
		line, err := c.in.ReadString('\n')
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.tag = rest
		case "ERROR":
			a.code = rest
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		}
	}
}
