package groupcontroller

import (
	"context"
	"testing"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/request"
)

// benchmark runs an operation in parallel on a group in a steady state.
func benchmark(b *testing.B, run func(context.Context, *Controller, request.Target) error) {
	f := newFakeGroup()
	c := startController(f, &fakeSource{current: testConfiguration(nil)})
	defer c.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	target, err := c.Primary(ctx, testGroup)
	if err != nil {
		b.Fatal(err)
	}
	f.setPoints("c", at(1, 9), at(1, 9))
	if err := c.Confirm(ctx, target, at(1, 9)); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := run(ctx, c, target); err != nil {
				b.Error(err)
			}
		}
	})
}

func BenchmarkPrimary(b *testing.B) {
	benchmark(b, func(ctx context.Context, c *Controller, _ request.Target) error {
		_, err := c.Primary(ctx, testGroup)
		return err
	})
}

func BenchmarkReadWithoutWait(b *testing.B) {
	requirement := request.ReadRequirement{MinLogPoint: ident.LogPoint{Term: 1, Position: 1}}
	benchmark(b, func(ctx context.Context, c *Controller, _ request.Target) error {
		_, err := c.Read(ctx, testGroup, requirement)
		return err
	})
}

func BenchmarkConfirmed(b *testing.B) {
	benchmark(b, func(ctx context.Context, c *Controller, target request.Target) error {
		return c.Confirm(ctx, target, at(1, 9))
	})
}
