// Package promotion replaces the primary of a database group. It is
// deterministic: the caller passes in events and the time, and carries out the
// actions that Take returns.
//
// # Protocol
//
// Every VM runs one Machine per group. A change of primary has these phases:
//
//	suspect   the primary's agent refuses connections, its stream is silent, or a
//	          recorded change was not completed by its proposer
//	confirm   a VM of another zone, where there is one, has evidence of its own
//	move      (planned move) the object goes to state moving; proxies hold writes
//	handover  (planned move) the primary stops new write transactions
//	catch up  (planned move) a target holds the primary's final point
//	propose   conditional update of the object to term T+1, state fencing
//	fence     a majority of the members accepts term T+1
//	record    conditional update to state serving with the most advanced member
//	          of the fenced majority as primary
//	promote   the chosen member becomes primary; the rest follow it
//
// A handover that took effect without its answer leaves a primary that takes no
// writes, and its status does not show that. The state moving is therefore recorded
// before the handover: it obliges every VM to see the change through to a new
// term, even when its proposer dies or operators withdraw the move.
//
// An update whose answer is lost is read back; the record's writer identifier
// tells whose update took effect. An update that did not take effect is repeated
// with the same identifier and version, so it takes effect at most once.
//
// # Who proposes
//
// The VMs are ranked per group by rendezvous hash, those in the primary's zone
// last, because they are likely to share its failure. A VM of rank r acts r times
// RankDelay after its suspicion, so that normally one VM proposes. A VM proposes
// only while its own streams show a majority of the members: a VM that is cut off
// with the minority cannot succeed and would only raise the term.
//
// # Safety
//
// Every term has one proposer (conditional update), every proposer fences a
// majority before it chooses, and a confirmed write is on a majority. The chosen
// member is the most advanced of the fenced ones, so it holds every confirmed
// write. No step depends on a clock; delays only limit how often proposers
// compete.
package promotion
