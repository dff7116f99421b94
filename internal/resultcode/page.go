package resultcode

import (
	"fmt"
	"strings"
)

// sections are the headings of the page by the thousand and hundred of their codes.
var sections = map[Code]string{
	10: "Requests of callers",
	20: "Release notes",
	30: "Settings",
	40: "Messages between VMs",
	41: "Calls to the platform",
}

// Page returns the text of docs/result-codes.md, made from the table.
func Page() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\n" +
		"Generated from `internal/resultcode`; change the table there and run\n" +
		"`go test ./internal/resultcode -update`.\n\n" +
		"Every refusal carries one of these codes. Callers see it in the message text, with the SQLSTATE in\n" +
		"the code field. \"Not run\" means that the request or call had no effect and may be sent again;\n" +
		"\"unknown\" means that it may have had one.\n")
	section := ""
	for _, info := range table {
		if heading := sections[info.Code/100]; heading != section {
			section = heading
			fmt.Fprintf(&b, "\n## %s\n\n| code | name | SQLSTATE | effect | meaning |\n|---|---|---|---|---|\n", section)
		}
		fmt.Fprintf(&b, "| %s | `%s` | %s | %s | %s |\n", info.Code, info.Name, info.SQLState, info.Effect, info.Meaning)
	}
	return b.String()
}

// String names the effect.
func (e Effect) String() string {
	if e == Unknown {
		return "unknown"
	}
	return "not run"
}
