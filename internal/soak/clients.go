package soak

import (
	"context"
	"fmt"
	"time"
)

const (
	// balancedClients is the number of clients that connect through the balancer, a third of
	// each kind.
	balancedClients = 12
	// statementTime is the time that members take for a statement.
	statementTime = 4 * time.Millisecond
	// slowShare is the part of the statements that take up to maxSlowShare of the timeout of
	// their route.
	slowShare, maxSlowShare = 0.02, 1.1
	// retryDelay is the time after a connection that failed.
	retryDelay = 20 * time.Millisecond
	// maxPause bounds the pauses in transactions.
	maxPause = 800 * time.Millisecond
	// maxTransactionLength bounds the statements of a transaction.
	maxTransactionLength = 6
)

// balancedClient is a client that connects through the balancer.
type balancedClient struct {
	*worker
	balancer *balancer
	attempt  int
}

// run uses one session after the other until the context ends.
func (c *balancedClient) run(ctx context.Context, use func(context.Context, *caller)) {
	for ctx.Err() == nil {
		c.attempt++
		route := []string{primaryRoute, boundedRoute, sessionRoute}[c.rng.IntN(3)]
		vm := c.balancer.pick(zones[c.n%len(zones)], c.n+c.attempt)
		conn, reply, err := c.fleet.dial(vm, route, mainKey)
		if err != nil || reply.Code != "" {
			time.Sleep(retryDelay)
			continue
		}
		use(ctx, &caller{session: conn, route: route, own: map[string]int{}})
		conn.Close()
	}
}

// useWithoutPause sends the next statement as soon as the last one is answered, until the VM
// closes the session.
func (c *balancedClient) useWithoutPause(ctx context.Context, open *caller) {
	for ctx.Err() == nil && c.statement(open) {
	}
}

// useOnce runs one statement.
func (c *balancedClient) useOnce(_ context.Context, open *caller) { c.statement(open) }

// statement runs one statement; false ends the session.
func (c *balancedClient) statement(open *caller) bool {
	switch x := c.rng.Float64(); {
	case x < slowShare:
		most := float64(open.timeout.Milliseconds()) * maxSlowShare
		reply, err := open.Query(c.nextID(), fmt.Sprintf("READ slow:%d", int(c.rng.Float64()*most)))
		return err == nil && reply.State == "I"
	case x < 0.3 && open.route != boundedRoute:
		return c.write(open)
	}
	return c.read(open)
}

// useWithPauses runs transactions with pauses between their statements.
func (c *balancedClient) useWithPauses(ctx context.Context, open *caller) {
	for ctx.Err() == nil && c.longTransaction(open) {
		time.Sleep(time.Duration(c.rng.Int64N(int64(maxPause / 4))))
	}
}

// longTransaction runs a transaction; false ends the session.
func (c *balancedClient) longTransaction(open *caller) bool {
	begin := "BEGIN"
	if open.route == boundedRoute {
		begin = "BEGIN READ"
	}
	if reply, err := open.Query(c.nextID(), begin); err != nil || reply.Code != "" {
		return err == nil && reply.State == "I"
	}
	value := 0
	for range 1 + c.rng.IntN(maxTransactionLength) {
		time.Sleep(time.Duration(c.rng.Int64N(int64(maxPause))))
		text := "READ " + c.item()
		next := c.nextID()
		if begin == "BEGIN" {
			value = c.last
			text = fmt.Sprintf("WRITE %s %d", c.item(), value)
		}
		if reply, err := open.Query(next, text); err != nil || reply.Code != "" {
			return false
		}
	}
	id := c.nextID()
	reply, err := open.Query(id, "COMMIT")
	if begin == "BEGIN" {
		c.wrote(open, id, value, reply, err)
	}
	return err == nil && reply.State == "I"
}
