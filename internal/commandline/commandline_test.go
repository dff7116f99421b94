package commandline

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a process that starts although its command line is wrong or only
// asked for information.
func TestParse(t *testing.T) {
	for _, c := range []struct {
		arguments []string
		status    int
		done      bool
	}{
		{nil, 0, false},
		{[]string{"--name", "x"}, 0, false},
		{[]string{"--help"}, 0, true},
		{[]string{"--version"}, 0, true},
		{[]string{"--colour"}, StatusUsage, true},
		{[]string{"stray"}, StatusUsage, true},
	} {
		var o struct {
			Common
			Name string `long:"name"`
		}
		status, done := Parse(&o, c.arguments)
		assert.Equal(t, status, c.status, "%v", c.arguments)
		assert.Equal(t, done, c.done, "%v", c.arguments)
	}
}
