package upstream

import (
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
)

// catalogEntries bounds the cached descriptions; the cache is emptied when full.
const catalogEntries = 4096

// catalog caches parsed statements and the columns of their results. A change
// of the schema empties it.
type catalog struct {
	mu     sync.RWMutex
	parsed map[string][]*statement
	known  map[string]*description
}

// description is what a client learns from Describe.
type description struct {
	fields     []pgproto3.FieldDescription
	parameters []uint32
}

func newCatalog() *catalog {
	c := &catalog{}
	c.reset()
	return c
}

func (c *catalog) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parsed = map[string][]*statement{}
	c.known = map[string]*description{}
}

// parse returns the statements of a query text.
func (c *catalog) parse(sql string) []*statement {
	c.mu.RLock()
	statements, ok := c.parsed[sql]
	c.mu.RUnlock()
	if ok {
		return statements
	}
	statements = parseAll(sql)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.parsed) >= catalogEntries {
		clear(c.parsed)
	}
	c.parsed[sql] = statements
	return statements
}

// describe returns the description of a statement. conn serves a miss.
func (c *catalog) describe(s *statement, conn *sqliteConn) (*description, error) {
	if known := c.lookup(s); known != nil {
		return known, nil
	}
	fields, err := conn.describeColumns(s)
	if err != nil {
		return nil, err
	}
	known := &description{fields: fields, parameters: conn.parameterTypes(s, nil)}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.known) >= catalogEntries {
		clear(c.known)
	}
	c.known[s.sqlite] = known
	return known, nil
}

func (c *catalog) lookup(s *statement) *description {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.known[s.sqlite]
}
