package settings

import (
	"fmt"
	"strings"
)

// Page returns the text of docs/configuration.md, made from the table.
func Page() string {
	var b strings.Builder
	b.WriteString("# Settings of an entry proxy\n\n" +
		"Generated from `internal/settings`; change the table there and run\n" +
		"`go test ./internal/settings -update`.\n\n" +
		"The file is in INI format: one `name = value` per line, `#` or `;` starts a comment. It is\n" +
		"checked as a whole at start. All problems are reported together, each with file, line and\n" +
		"result code; unknown sections and settings are problems too.\n")
	section := ""
	for _, o := range table {
		if o.section != section {
			section = o.section
			fmt.Fprintf(&b, "\n## [%s]\n\n| setting | values | default | meaning |\n|---|---|---|---|\n", section)
		}
		initial := "none"
		switch {
		case o.needed:
			initial = "required"
		case o.initial != "":
			initial = "`" + o.initial + "`"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", o.name, o.bounds, initial, o.meaning)
	}
	return b.String()
}
