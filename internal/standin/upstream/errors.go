package upstream

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

// sqlError is an error with an SQLSTATE.
type sqlError struct {
	state   string
	message string
}

func (e *sqlError) Error() string { return e.message }

// Errors of sessions.
var (
	errCancelled = &sqlError{"57014", "canceling statement due to user request"}
	errFailed    = &sqlError{"25P02", "current transaction is aborted, commands ignored until end of transaction block"}
	errReadOnly  = &sqlError{"25006", "cannot execute a write in a read-only transaction"}
)

// sqliteErrors maps parts of SQLite's messages to SQLSTATEs.
var sqliteErrors = []struct{ part, state string }{
	{"UNIQUE constraint", "23505"},
	{"NOT NULL constraint", "23502"},
	{"FOREIGN KEY constraint", "23503"},
	{"CHECK constraint", "23514"},
	{"no such table", "42P01"},
	{"no such column", "42703"},
	{"no such function", "42883"},
	{"already exists", "42P07"},
	{"syntax error", "42601"},
	{"incomplete input", "42601"},
	{"missing argument", "08P01"},
	{"interrupted", "57014"},
	{"database is locked", "55P03"},
}

// convertError gives an error an SQLSTATE.
func convertError(err error) *sqlError {
	var coded *sqlError
	if errors.As(err, &coded) {
		return coded
	}
	if errors.Is(err, context.Canceled) {
		return errCancelled
	}
	for _, known := range sqliteErrors {
		if strings.Contains(err.Error(), known.part) {
			return &sqlError{known.state, err.Error()}
		}
	}
	return &sqlError{"XX000", err.Error()}
}

func errorResponse(severity string, err *sqlError) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: err.state, Message: err.message,
	}
}

func quoteName(name string) string {
	return `"` + strings.ReplaceAll(name, `"`, `""`) + `"`
}
