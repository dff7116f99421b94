package resultcode

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Guards against a page that differs from the codes that the program returns.
func TestPageMatchesTable(t *testing.T) {
	path := filepath.Join("..", "..", "docs", "result-codes.md")
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(path, []byte(Page()), 0o644))
	}
	page, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Equal(t, string(page), Page())
}

// Guards against a code without a description, two codes with one name or number,
// and a code for callers without an SQLSTATE.
func TestTableIsComplete(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "resultcode.go", nil, 0)
	assert.NilError(t, err)
	constants := 0
	ast.Inspect(file, func(n ast.Node) bool {
		if spec, ok := n.(*ast.ValueSpec); ok {
			if kind, ok := spec.Type.(*ast.Ident); ok && kind.Name == "Code" {
				constants++
			}
		}
		return true
	})
	assert.Equal(t, len(table), constants)
	assert.Equal(t, len(byCode), len(table))
	names := map[string]bool{}
	last := Code(0)
	for _, info := range All() {
		assert.Assert(t, info.Code > last && !names[info.Name] && info.Meaning != "", "%+v", info)
		assert.Assert(t, sections[info.Code/100] != "", "%s has no section", info.Code)
		assert.Equal(t, len(info.SQLState) == 5, info.Code < 2000, "%s", info.Code)
		names[info.Name], last = true, info.Code
	}
}

// Guards against a code that is lost when an error is wrapped.
func TestCodeOfWrappedError(t *testing.T) {
	cause := New(PlatformDown, "no answer")
	err := errors.Wrap(Wrap(cause, NoteNotAccepted, "version %d", 2), "apply")
	assert.Equal(t, Of(err), NoteNotAccepted)
	assert.Assert(t, errors.Is(err, cause))
	assert.Equal(t, err.Error(), "apply: RW2009: version 2: RW4101: no answer")
	assert.Equal(t, Of(errors.New("plain")), Code(0))
}
