package groupcontroller

import (
	"expvar"

	"github.com/rosemarywall/rosemarywall/internal/core/promotion"
)

// metrics are the counters of one controller. Vars returns them under the names that
// doc.go documents.
type metrics struct {
	indexRounds      expvar.Int
	readsReplica     expvar.Int
	readsWaited      expvar.Int
	readsByAge       expvar.Int
	readsPrimary     expvar.Int
	confirmsWaited   expvar.Int
	primaryWaits     expvar.Int
	failuresReported expvar.Int

	promotions     expvar.Int
	plannedMoves   expvar.Int
	detectionTotal expvar.Int
	gapTotal       expvar.Int
	detectionLast  expvar.Int
	gapLast        expvar.Int
}

// recordPrimaryChange counts a change of the primary that this VM carried out.
func (m *metrics) recordPrimaryChange(o promotion.Outcome) {
	if o.Planned {
		m.plannedMoves.Add(1)
		return
	}
	m.promotions.Add(1)
	m.detectionTotal.Add(o.Detection.Milliseconds())
	m.gapTotal.Add(o.Total().Milliseconds())
	m.detectionLast.Set(o.Detection.Milliseconds())
	m.gapLast.Set(o.Total().Milliseconds())
}

// Vars returns the controller's counters. The process publishes the map under the name
// "groups". The controller does not publish it itself, because expvar names are global
// and a process may run several controllers.
func (c *Controller) Vars() *expvar.Map {
	m := new(expvar.Map).Init()
	for name, v := range map[string]*expvar.Int{
		"read_index_rounds":  &c.metrics.indexRounds,
		"reads_replica":      &c.metrics.readsReplica,
		"reads_replica_wait": &c.metrics.readsWaited,
		"reads_replica_age":  &c.metrics.readsByAge,
		"reads_primary":      &c.metrics.readsPrimary,
		"confirms_waited":    &c.metrics.confirmsWaited,
		"primary_waits":      &c.metrics.primaryWaits,
		"failures_reported":  &c.metrics.failuresReported,
		"promotions":         &c.metrics.promotions,
		"planned_moves":      &c.metrics.plannedMoves,
		"detection_ms_total": &c.metrics.detectionTotal,
		"gap_ms_total":       &c.metrics.gapTotal,
		"detection_ms_last":  &c.metrics.detectionLast,
		"gap_ms_last":        &c.metrics.gapLast,
	} {
		m.Set(name, v)
	}
	return m
}
