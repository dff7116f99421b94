package forward

import (
	"github.com/rosemarywall/rosemarywall/internal/filter"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/upstream"
	"github.com/rosemarywall/rosemarywall/internal/wire"
)

// applySettings applies the settings of the session to a newly leased connection. A
// read, a wrapped write and the first request of a transaction block send the SET
// statements together with the request, which saves a round trip: if the upstream
// rejects a setting, their responses are discarded and they have had no effect. Other
// requests wait for the response to the SET statements.
func (x *exchange) applySettings() error {
	sql := x.s.Settings.Difference(x.conn.Settings, x.conn.Params, !x.r.Write)
	if sql == "" {
		x.s.Settings.MarkApplied(x.conn.Settings, !x.r.Write)
		return nil
	}
	if x.wrapped || x.r.Begin != "" || !x.r.Write && !x.r.EndsWithFlush {
		x.emitQuery(true, sql)
		x.expected[len(x.expected)-1].settings = true
		return nil
	}
	refusal, err := x.conn.ApplySettings(sql)
	switch {
	case err != nil:
		x.broken = true
		return &filter.RetryableError{Reason: filter.ReasonNotSent, Cause: err}
	case refusal != nil:
		return settingsRefusedError(refusal)
	}
	x.unnamed, x.conn.UnnamedStatement = upstream.StatementKey{}, upstream.StatementKey{}
	x.s.Settings.MarkApplied(x.conn.Settings, !x.r.Write)
	return nil
}

func settingsRefusedError(refusal []byte) error {
	return resultcode.New(resultcode.InvalidSetting, "the upstream refused the session settings with SQLSTATE %s", wire.ErrorField(refusal, 'C'))
}

// dropResponses discards the remaining responses of the segment after the upstream has
// rejected a setting or BEGIN.
func (x *exchange) dropResponses(err error) {
	x.prefixErr = err
	for i := x.next; i < len(x.expected); i++ {
		x.expected[i].drop = true
	}
}
