package operator

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/rosemarywall/rosemarywall/internal/explain"
)

type explainCommand struct {
	command
	Positional struct {
		ID    string   `positional-arg-name:"ID" required:"yes"`
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

func (s *session) withRequest() flags.Commander {
	c := &explainCommand{}
	c.command = command{func() int { return s.explain(c.Positional.ID, c.Positional.Files) }, s}
	return c
}

// explain prints the lines of a request in order; lines about the state that decided
// it are marked.
func (s *session) explain(id string, files []string) int {
	var all []explain.Line
	for _, name := range files {
		lines, err := readLog(name)
		if err != nil {
			return s.fail(exitFailed, err)
		}
		all = append(all, lines...)
	}
	lines := explain.Request(id, all)
	if len(lines) == 0 {
		return s.fail(exitFailed, errors.Newf("no line names request %s", id))
	}
	for _, l := range lines {
		mark := "request"
		if l.State {
			mark = "state  "
		}
		fmt.Fprintln(s.out, mark, l.Text)
	}
	return exitDone
}

func readLog(name string) ([]explain.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return explain.Parse(file)
}
