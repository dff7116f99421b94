package sessions

import (
	"fmt"
	"sort"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

func kindOf(m any) string { return strings.TrimPrefix(fmt.Sprintf("%T", m), "*pgproto3.") }

// describe formats a message as one line without anything random or secret.
func describe(m any) string {
	kind := kindOf(m)
	switch m := m.(type) {
	case *pgproto3.StartupMessage:
		var pairs []string
		for name, value := range m.Parameters {
			pairs = append(pairs, fmt.Sprintf("%s=%q", name, value))
		}
		sort.Strings(pairs)
		return kind + " " + strings.Join(pairs, " ")
	case *pgproto3.PasswordMessage:
		return kind + " (key)"
	case *pgproto3.BackendKeyData:
		return kind + " (masked)"
	case *pgproto3.Query:
		if len(m.String) > 200 {
			return fmt.Sprintf("%s of %d bytes", kind, len(m.String))
		}
		return fmt.Sprintf("%s %q", kind, m.String)
	case *pgproto3.Parse:
		return fmt.Sprintf("%s %q %q", kind, m.Name, m.Query)
	case *pgproto3.Bind:
		return fmt.Sprintf("%s %q %q %q", kind, m.DestinationPortal, m.PreparedStatement, m.Parameters)
	case *pgproto3.Describe:
		return fmt.Sprintf("%s %c %q", kind, m.ObjectType, m.Name)
	case *pgproto3.Execute:
		return fmt.Sprintf("%s %q %d", kind, m.Portal, m.MaxRows)
	case *pgproto3.CopyData:
		return fmt.Sprintf("%s %q", kind, m.Data)
	case *pgproto3.ParameterStatus:
		return fmt.Sprintf("%s %s=%s", kind, m.Name, m.Value)
	case *pgproto3.RowDescription:
		var names []string
		for _, f := range m.Fields {
			names = append(names, string(f.Name))
		}
		return kind + " " + strings.Join(names, ",")
	case *pgproto3.DataRow:
		return fmt.Sprintf("%s %q", kind, m.Values)
	case *pgproto3.CommandComplete:
		return fmt.Sprintf("%s %q", kind, m.CommandTag)
	case *pgproto3.ReadyForQuery:
		return fmt.Sprintf("%s %c", kind, m.TxStatus)
	case *pgproto3.ErrorResponse:
		return fmt.Sprintf("%s %s %s %q detail=%q", kind, m.Severity, m.Code, m.Message, m.Detail)
	}
	return kind
}
