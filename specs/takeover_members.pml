/*
 * Who may confirm a commit while a primary is replaced (internal/controller/takeover).
 *
 * takeover.pml has three members that stay, and checks the orders and calls of attempts
 * that run side by side. Here one attempt follows another, and the members change: one
 * joins, with its log behind the leader's; one leaves, and its log is gone; one starts
 * again without its log; one is cut off with its zone, loses its registration, and may
 * receive again before it is registered again. The leader falls silent and returns, or is
 * cut off with its zone, where a member may join that nobody outside knows. A call takes
 * effect some time after its answer.
 *
 * Members 0 to 2 are there at the start and 0 leads; member 3 may join. A commit is
 * acknowledged once one replica has received it.
 *
 * Properties: a member that is promoted has every acknowledged commit. Once the demoted
 * leader's log is on a candidate, nothing else is needed to promote it.
 *
 * Assumption: while a call that was proved by paused replicas waits for its effect, the
 * silent leader doesn't return to a replica that has joined or started again since the
 * call, and it isn't cut off between the proof and the effect. A member that
 * joins between the proof and the call stays registered until the call, and one that is not
 * registered doesn't start again between them. A member is registered when it starts, or when its cut ends if it has
 * joined behind one, and the record names it
 * before it leaves, starts again or loses its registration.
 */
#ifndef COMMITS
#define COMMITS 1 /* finds every fault below; 2 searches more */
#endif
#define MEMBERS 4
#define NONE 4

byte leader;
byte size[MEMBERS];
byte acked;
bool demoted; /* the leader has stepped down */
bool silent;  /* the leader takes no step */
bool cut;     /* the leader is cut off with its zone */

bool live[MEMBERS];
bool registered[MEMBERS];
bool away[MEMBERS];   /* cut off with its zone */
bool inside[MEMBERS]; /* in the leader's zone, behind the cut */
bool paused[MEMBERS];
bool unknown; /* member 3 has joined behind a cut and never registered */
#define UNKNOWN(m) (m == 3 && unknown)

/* The commit holders of the group's object. */
bool holder[MEMBERS];
bool lost[MEMBERS]; /* the log that was recorded is lost */

/* The attempt. */
#define IDLE   0
#define CHOSEN 1
#define PROVED 2
#define CALLED 3
byte phase;
byte chosen = NONE;
bool by_replicas;      /* proved by paused replicas */
bool covered[MEMBERS]; /* the member is known to be paused */
byte received[MEMBERS]; /* what it reported then */
bool counted[MEMBERS]; /* registered at the proof */

/* Each event happens once at most, which suffices for the faults seen. */
bool joined, left, restarted, was_away, was_silent, was_cut;
byte attempts;

#define OTHERS_SEE_LEADER (!silent && !cut)
#define REACHED(m) (live[m] && !away[m] && !inside[m])
#define COUNTS(m) (m != leader && (registered[m] || holder[m]))
#define COMPLETE(m) (m != leader && registered[m] && REACHED(m) && size[m] == size[leader])
#define CAUGHT_UP (OTHERS_SEE_LEADER && !demoted && (COMPLETE(0) || COMPLETE(1) || COMPLETE(2) || COMPLETE(3)))
#define WAITS_FOR_EFFECT (phase == CALLED && by_replicas)
#define JUST_JOINED(m) (phase == PROVED && by_replicas && !counted[m])

#define COMMIT :: d_step { !silent && !demoted && size[leader] < COMMITS -> size[leader]++ }

#define RECEIVE(m) \
	:: d_step { m != leader && live[m] && !away[m] && !paused[m] && !silent && (!cut || inside[m]) && size[m] < size[leader] -> \
		size[m]++; \
		if :: !demoted && size[m] > acked -> acked = size[m] :: else fi }

#define JOIN \
	:: d_step { !joined && !cut && (!WAITS_FOR_EFFECT || silent) -> \
		joined = true; live[3] = true; registered[3] = true } \
	:: d_step { !joined && cut -> joined = true; live[3] = true; inside[3] = true; unknown = true }

#define LEAVE(m) \
	:: d_step { !left && holder[m] && live[m] && m != leader && m != chosen && !JUST_JOINED(m) -> \
		left = true; live[m] = false; registered[m] = false; size[m] = 0; paused[m] = false }

#define RESTART(m) \
	:: d_step { !restarted && holder[m] && (registered[m] || !by_replicas || phase != PROVED) && live[m] && m != leader && m != chosen && (!WAITS_FOR_EFFECT || silent) -> \
		restarted = true; size[m] = 0; paused[m] = false; covered[m] = false; lost[m] = true }

#define CUT_OFF(m) \
	:: d_step { !was_away && live[m] && m != leader && m != chosen && !WAITS_FOR_EFFECT -> \
		was_away = true; away[m] = true } \
	:: d_step { away[m] && registered[m] && holder[m] && !JUST_JOINED(m) -> registered[m] = false } \
	:: d_step { away[m] && (!UNKNOWN(m) || !WAITS_FOR_EFFECT || silent) -> \
		away[m] = false; if :: UNKNOWN(m) -> registered[m] = true; unknown = false :: else fi } \
	:: d_step { live[m] && !away[m] && !inside[m] && !registered[m] -> registered[m] = true }

#define SILENCE \
	:: d_step { !was_silent -> was_silent = true; silent = true } \
	:: d_step { silent && !(WAITS_FOR_EFFECT && (UNPAUSED(0) || UNPAUSED(1) || UNPAUSED(2) || UNPAUSED(3))) -> silent = false }
#define UNPAUSED(m) (m != leader && m != chosen && live[m] && !paused[m])

#define ZONE_CUT \
	:: d_step { !was_cut && !(by_replicas && phase >= PROVED) -> was_cut = true; cut = true } \
	:: d_step { cut -> cut = false; \
		if :: inside[3] -> inside[3] = false; registered[3] = true; unknown = false :: else fi }

#define HOLD(m) \
	:: d_step { registered[m] && !holder[m] -> holder[m] = true }

/* A holder is dropped if it has gone, which a VM in its zone confirms. */
#ifdef MUTANT_DROP_CUT_OFF
#define GONE(m) (!live[m] || away[m])
#else
#define GONE(m) (!live[m])
#endif
#define DROP(m) \
	:: d_step { holder[m] && !registered[m] && GONE(m) && CAUGHT_UP -> holder[m] = false; lost[m] = false }
#define RENEW(m) \
	:: d_step { lost[m] && registered[m] && CAUGHT_UP -> lost[m] = false }

#define CHOOSE(m) \
	:: d_step { phase == IDLE && attempts < 2 && m != leader && registered[m] && REACHED(m) -> \
		attempts++; phase = CHOSEN; chosen = m; by_replicas = false }

/* A leader that responds is demoted first. */
#ifdef MUTANT_NO_DEMOTION
#define STEPPED_DOWN true
#else
#define STEPPED_DOWN demoted
#endif
#define DEMOTE \
	:: d_step { phase == CHOSEN && OTHERS_SEE_LEADER && !demoted -> demoted = true }

#ifdef MUTANT_COUNT_DEPARTED
#define HAS_ALL (size[chosen] >= size[leader] && (live[0] || !holder[0]) && (live[1] || !holder[1]) && \
	(live[2] || !holder[2]) && (live[3] || !holder[3]))
#else
#define HAS_ALL (size[chosen] >= size[leader])
#endif
#define PROVE_BY_LOG \
	:: d_step { phase == CHOSEN && OTHERS_SEE_LEADER && STEPPED_DOWN && live[chosen] && size[chosen] >= size[leader] -> \
		assert(HAS_ALL); phase = PROVED }

/* No candidate has the end of the log: the demoted leader leads again. */
#define LEAD_AGAIN \
	:: d_step { phase == CHOSEN && OTHERS_SEE_LEADER && demoted -> demoted = false; phase = IDLE; chosen = NONE }

/* The replicas prove it for a leader that does not respond. */
#define PAUSE(m) \
	:: d_step { phase == CHOSEN && !OTHERS_SEE_LEADER && m != chosen && m != leader && REACHED(m) && !covered[m] -> \
		paused[m] = true; covered[m] = true; received[m] = size[m] }
#define COVERED(m) (!COUNTS(m) || m == chosen || covered[m] && received[m] <= size[chosen])
#ifdef MUTANT_NAMES
#define LOST_LOG false
#else
#define LOST_LOG (lost[0] || lost[1] || lost[2] || lost[3])
#endif
#ifdef MUTANT_ZONE_SILENT
#define ISOLATED true
#else
#define ISOLATED (!cut)
#endif
#define PROVE_BY_REPLICAS \
	:: d_step { phase == CHOSEN && !OTHERS_SEE_LEADER && ISOLATED && !LOST_LOG && \
		COVERED(0) && COVERED(1) && COVERED(2) && COVERED(3) -> phase = PROVED; by_replicas = true; \
		counted[0] = registered[0]; counted[1] = registered[1]; counted[2] = registered[2]; counted[3] = registered[3] }

#ifdef MUTANT_JOIN_UNCHECKED
#define UNCHANGED true
#else
#define KNOWN(m) (m == leader || m == chosen || registered[m] == counted[m] && (!registered[m] || covered[m]))
#define UNCHANGED (KNOWN(0) && KNOWN(1) && KNOWN(2) && KNOWN(3))
#endif
#define CALL \
	:: d_step { phase == PROVED && (!by_replicas || UNCHANGED) -> phase = CALLED }

#define FORGET counted[0] = false; counted[1] = false; counted[2] = false; counted[3] = false; received[0] = 0; received[1] = 0; received[2] = 0; received[3] = 0; covered[0] = false; covered[1] = false; covered[2] = false; covered[3] = false; chosen = NONE; phase = IDLE
#define RESUME paused[0] = false; paused[1] = false; paused[2] = false; paused[3] = false

/* The call takes effect, or is refused because the candidate is not running. */
#define EFFECT \
	:: d_step { phase == CALLED && live[chosen] -> \
		assert(size[chosen] >= acked); \
		leader = chosen; demoted = false; silent = false; cut = false; \
		if :: inside[3] -> inside[3] = false; away[3] = true :: else fi; \
		CUT_BACK(0) CUT_BACK(1) CUT_BACK(2) CUT_BACK(3) RESUME; FORGET } \
	:: d_step { phase == CALLED && !live[chosen] -> RESUME; FORGET }
#define CUT_BACK(m) if :: size[m] > size[leader] -> size[m] = size[leader] :: else fi;

#define GIVE_UP \
	:: d_step { phase == CHOSEN || phase == PROVED -> RESUME; FORGET }

init {
	d_step {
		live[0] = true; live[1] = true; live[2] = true;
		registered[0] = true; registered[1] = true; registered[2] = true;
		holder[0] = true; holder[1] = true; holder[2] = true
	}
end:	do
	COMMIT
	RECEIVE(0) RECEIVE(1) RECEIVE(2) RECEIVE(3)
	JOIN
	LEAVE(1) LEAVE(2) LEAVE(3)
	RESTART(1) RESTART(2) RESTART(3)
	CUT_OFF(1) CUT_OFF(2) CUT_OFF(3)
	SILENCE
	ZONE_CUT
	HOLD(0) HOLD(1) HOLD(2) HOLD(3)
	DROP(0) DROP(1) DROP(2) DROP(3)
	RENEW(1) RENEW(2) RENEW(3)
	CHOOSE(0) CHOOSE(1) CHOOSE(2) CHOOSE(3)
	DEMOTE
	PROVE_BY_LOG
	LEAD_AGAIN
	PAUSE(0) PAUSE(1) PAUSE(2) PAUSE(3)
	PROVE_BY_REPLICAS
	CALL
	EFFECT
	GIVE_UP
	od
}
