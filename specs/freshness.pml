/*
 * Two-phase acceptance of a note and proofs of freshness (docs/design.md, section 7;
 * the rules of restarts are those of internal/core/freshness).
 *
 * One note, which withdraws a key. Time is discrete; timers count down. An answer is
 * dated from its question, so a late arrival only shortens its validity, and the
 * model lets an answer arrive when it is given. VM 0 is the one whose proofs are
 * examined; all VMs vote, restart and may act as acceptor. A message is lost when
 * its step is never taken, and an outage of the platform is a time in which no step
 * that needs it is taken.
 *
 * Property: no VM honours the key more than F ticks after the note was accepted.
 */
#define F 2
#ifndef RESTARTS
#define RESTARTS 2 /* three take minutes */
#endif
/* Three zones of one VM: the majority inside a zone is not modelled. */
#define VMS 3
#define ALL 7
#define NOBODY VMS
#define BIT(v) (1 << (v))
#define QUORUM(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1) >= 2)

/* Sets of VMs. */
byte knows;     /* VMs that know of the proposal */
byte qualified; /* VMs that remember every proposal that they acknowledged */
byte unsettled; /* VMs whose proposal is unanswered */
byte acks;      /* VMs that acknowledged the acceptor's attempt */

byte acceptor;  /* the VM whose attempt counts, or NOBODY */
bool proposed, accepting, accepted;
byte since;     /* ticks since acceptance, at most F + 1 */
byte restarts;

/* Restarted VMs: which have completed the first round of questions, who answered in
 * the second round, and who was not qualified then. The first round is one step,
 * and a VM that restarts before its second answer ends the round at once; both
 * allow a VM to qualify earlier than the real rule does. */
byte first;
byte second[VMS], unqualified[VMS];

/* Proofs of VM 0: remaining validity. */
byte question;
byte attested[VMS];
byte reading;

byte i, set;

#ifdef MUTANT_ATTEST_AFTER_RESTART
#define REMEMBERS(v) true
#else
#define REMEMBERS(v) (qualified & BIT(v))
#endif
#ifdef MUTANT_ONE_SURVIVOR /* lets a VM qualify when any other one is qualified */
#define BLOCKED(set) ((set) == ALL)
#else
#define BLOCKED(set) QUORUM(set)
#endif
#ifdef MUTANT_ZONE_MINORITY
#define PROVES(set) ((set) != 0)
#else
#define PROVES(set) QUORUM(set)
#endif
#ifdef MUTANT_OLD_ACKS /* counts acknowledgements of an earlier attempt */
#define RAISE_ATTEMPT skip
#else
#define RAISE_ATTEMPT acks = 0
#endif

inline check() {
	set = 0;
	i = 0;
	do
	:: i < VMS ->
		if
		:: attested[i] > 0 -> set = set | BIT(i)
		:: else
		fi;
		i++
	:: else -> break
	od;
	assert(!(accepted && since > F && !(knows & 1) && (reading > 0 || PROVES(set))));
	set = 0; i = 0
}

#define DECREMENT(x) if :: x > 0 -> x-- :: else fi

inline tick() {
	i = 0;
	do
	:: i < VMS -> DECREMENT(attested[i]); i++
	:: else -> break
	od;
	DECREMENT(question);
	DECREMENT(reading);
	if
	:: accepted && since <= F -> since++
	:: else
	fi;
	check()
}

inline forget(v) {
	first = first & ~BIT(v); second[v] = 0; unqualified[v] = 0
}

inline restart(v) {
	restarts++;
	knows = knows & ~BIT(v);
	qualified = qualified & ~BIT(v);
	unsettled = unsettled & ~BIT(v);
	forget(v);
	if
	:: acceptor == v -> acceptor = NOBODY; RAISE_ATTEMPT
	:: else
	fi;
	if
	:: v == 0 ->
		question = 0; reading = 0;
		i = 0;
		do
		:: i < VMS -> attested[i] = 0; i++
		:: else -> break
		od
	:: else
	fi;
	i = 0;
	do
	:: i < VMS ->
		if
		:: second[i] & BIT(v)
		:: else -> forget(i)
		fi;
		i++
	:: else -> break
	od;
	i = 0
}

/* VM v, which is not qualified, hears the answer of u. */
inline hear(v, u) {
	knows = knows | (((knows >> u) & 1) << v);
	second[v] = second[v] | BIT(u);
	unqualified[v] = (unqualified[v] & ~BIT(u)) | (BIT(u) & ~qualified);
	if
	:: (second[v] | BIT(v)) != ALL
	:: else ->
		if
		:: !BLOCKED(unqualified[v] | BIT(v)) -> qualified = qualified | BIT(v)
		:: else
		fi;
		forget(v)
	fi
}

#define HEAR(v, u) \
	:: d_step { v != u && (first & BIT(v)) && !(unsettled & BIT(u)) -> hear(v, u) }

#define VM(v) \
	/* Proposes; the answer may be lost, and the VM then does not know yet. */ \
	:: atomic { !proposed && !(unsettled & BIT(v)) -> proposed = true; acceptor = v; acks = 0; \
		if :: knows = knows | BIT(v) :: unsettled = unsettled | BIT(v) fi } \
	:: d_step { (unsettled & BIT(v)) -> unsettled = unsettled & ~BIT(v); knows = knows | BIT(v) } \
	/* Takes over from another acceptor. */ \
	:: d_step { !accepted && (knows & BIT(v)) && acceptor != v -> acceptor = v; RAISE_ATTEMPT } \
	/* Reads the platform, or hears of the proposal from a peer. */ \
	:: d_step { (!(qualified & BIT(v)) || (proposed && !(knows & BIT(v)))) -> \
		qualified = qualified | BIT(v); forget(v); \
		if :: proposed -> knows = knows | BIT(v) :: else fi } \
	:: d_step { knows != 0 && !(knows & BIT(v)) -> knows = knows | BIT(v) } \
	:: d_step { (knows & BIT(v)) && acceptor != NOBODY && !(acks & BIT(v)) -> acks = acks | BIT(v) } \
	:: d_step { restarts < RESTARTS -> restart(v) } \
	:: d_step { !(qualified & BIT(v)) && !(first & BIT(v)) && (unsettled & ~BIT(v)) == 0 -> first = first | BIT(v) } \
	/* Answers a question of VM 0. */ \
	:: d_step { question > 0 && attested[v] < question && !(knows & BIT(v)) && !(unsettled & BIT(v)) && REMEMBERS(v) -> \
		attested[v] = question; check() } \
	HEAR(v, 0) HEAR(v, 1) HEAR(v, 2)

init {
	d_step { qualified = ALL; acceptor = NOBODY }
end:	do
	:: d_step { tick() }
	:: d_step { question < F -> question = F }
	:: d_step { !proposed && question > 0 && reading < question -> reading = question; check() }
	/* The update that accepts may take effect long after it was sent. */
	:: d_step { !accepting && !accepted && acceptor != NOBODY && (knows & BIT(acceptor)) && QUORUM(acks) -> accepting = true }
	:: d_step { accepting && !accepted -> accepted = true; acks = 0; acceptor = NOBODY; check() }
	VM(0) VM(1) VM(2)
	od
}
