package groupcontroller

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/core/routing"
	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Guards against connections that stay open to an unresponsive former primary. The view
// has no primary while the successor is being chosen, which hid the replacement.
func TestReplacementOfUnresponsivePrimaryIsReported(t *testing.T) {
	for _, unresponsive := range []bool{true, false} {
		withRouter(t, func(t *testing.T, _ *fakeGroup, _ *fakeSource, c *Controller) {
			type replacement struct {
				upstream ident.UpstreamName
				term     ident.Term
			}
			var got []replacement
			c.options.OnPrimaryReplaced = func(_ ident.GroupName, u ident.UpstreamName, term ident.Term) {
				got = append(got, replacement{u, term})
			}
			g := c.group(testGroup)
			if unresponsive {
				g.updateMember("a", (*routing.View).WithFailure)
			}
			g.update(func(v *routing.View) *routing.View { return v.WithRecord(routing.Record{Term: 2}) })
			g.update(func(v *routing.View) *routing.View {
				return v.WithRecord(routing.Record{Term: 2, Serving: true, Primary: "b"})
			})
			g.updateMember("b", func(v *routing.View, i int) *routing.View {
				status := v.Observations[i].Status
				status.Term, status.Role, status.Fenced = 2, group.RolePrimary, false
				return v.WithStatus(i, status, c.options.Now())
			})
			synctest.Wait()
			want := 0
			if unresponsive {
				want = 1
			}
			assert.Equal(t, len(got), want)
			if unresponsive {
				assert.Equal(t, got[0], replacement{"a", 2})
			}
		})
	}
}
