package forward

import (
	"github.com/rosemarywall/rosemarywall/internal/filter"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/upstream"
	"github.com/rosemarywall/rosemarywall/internal/wire"
)

// applySettings brings a fresh connection to the session's settings. A read and a
// wrapped write send the statements together with the request, which saves an
// exchange: if a setting is refused, their answers are dropped and they have had
// no effect. So does the first request of a transaction block. Other requests wait for the answer.
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

// dropResponses drops the answers to come, because a setting or BEGIN was refused.
func (x *exchange) dropResponses(err error) {
	x.prefixErr = err
	for i := x.next; i < len(x.expected); i++ {
		x.expected[i].drop = true
	}
}
