package groupcontroller

import "expvar"

// metrics are the counters of one controller. Vars publishes them; the names are
// documented in doc.go.
type metrics struct {
	indexRounds      expvar.Int
	readsReplica     expvar.Int
	readsWaited      expvar.Int
	readsByAge       expvar.Int
	readsPrimary     expvar.Int
	confirmsWaited   expvar.Int
	primaryWaits     expvar.Int
	failuresReported expvar.Int
}

// Vars returns the controller's counters. The process publishes the map under the
// name "groups"; a controller does not publish itself, because expvar's names are
// global and a process may hold several controllers.
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
	} {
		m.Set(name, v)
	}
	return m
}
