// Package promotion replaces the primary of a database group. It is
// deterministic: the controller passes in events and the time, and carries out the
// actions that TakeActions returns.
//
// # Protocol
//
// Every VM runs one Machine per group. A change of primary has these phases:
//
//	suspect   the primary's agent refuses connections, its status stream is
//	          unresponsive, or a proposer did not complete a recorded change
//	confirm   a VM of another zone, if there is one, has observed the failure itself
//	move      (planned move) the object goes to state moving; proxies hold writes
//	handover  (planned move) the primary accepts no new write transactions
//	catch up  (planned move) a target has received up to the primary's final position
//	propose   conditional update of the object to term T+1, state fencing
//	fence     a majority of the members accepts term T+1
//	record    conditional update to state serving with the most advanced member
//	          of the fenced majority as primary
//	promote   the chosen member becomes primary; the others follow it
//
// If the response to a handover is lost, the primary may accept no writes without its
// status showing it. The state moving is therefore recorded before the handover: it
// obliges every VM to complete the change to a new term, even if its proposer dies or
// operators withdraw the move.
//
// An update whose response is lost is read back; the record's writer identifier
// shows whose update took effect. An update that did not take effect is repeated
// with the same identifier and version, so it takes effect at most once.
//
// # Proposers
//
// The VMs are ranked per group by rendezvous hash, those in the primary's zone
// last, because they are likely to share its failure. A VM of rank r acts r times
// RankDelay after its suspicion, so that normally one VM proposes. A VM proposes
// only while its own streams show a majority of the members: a VM that is
// partitioned with a minority cannot succeed and would only raise the term.
//
// # Safety
//
// Every term has one proposer (conditional update), every proposer fences a
// majority before it chooses, and an acknowledged write is on a majority. The chosen
// member is the most advanced of the fenced ones, so it holds every acknowledged
// write. No step depends on a clock; delays only limit how often proposers
// compete.
package promotion
