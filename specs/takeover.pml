/*
 * Change of primary on the users' platform (internal/controller/takeover).
 *
 * Three members, of which one leads, and a commit is acknowledged once one replica has
 * received it. Only the platform's call changes the leader, and the new one leads with
 * what it had received; all others are cut back to that. Logs are therefore prefixes of
 * the leader's, and a log is the number of its commits.
 *
 * Attempts to replace the primary are numbered by their generation and run side by
 * side; each may be of another VM, which knows of the others only what the group's
 * object says. Every step is atomic. A VM that dies, or that is slow, is one that takes
 * no step. An order to a member (pause, resume) and the call to the platform may be
 * carried out and answered, carried out without an answer, or carried out later. The
 * platform bounds the delay, so that a VM which waits for longer knows that they are
 * not carried out any more: the model lets a VM forget an order or a call once it is
 * over.
 *
 * Property: a member that is promoted has every acknowledged commit.
 *
 * Not modelled: members that join, leave or lose their log, and a call that takes effect some
 * time after its answer, for which takeover_members.pml stands.
 */
#ifndef ATTEMPTS
#define ATTEMPTS 3 /* the macros below list three */
#endif
#ifndef COMMITS
#define COMMITS 2
#endif
#ifndef FORGOTTEN
#define FORGOTTEN 1 /* resumes of replicas that are paused for nothing */
#endif
#define MEMBERS 3
#define NONE 3 /* no member */

byte leader;
byte size[MEMBERS];
byte acked;
bool paused[MEMBERS];

/* The group's object. */
byte generation;
byte candidate = NONE;  /* a call for it was announced and may take effect */
bool resuming[MEMBERS]; /* a resume was announced and may be carried out */
byte orders;            /* resumes that were announced */

/* Orders and calls that are carried out later. */
bool late_pause[MEMBERS];
bool late_resume[MEMBERS];
byte late_call[ATTEMPTS + 1] = NONE; /* by generation: whom it promotes */
byte fence;                          /* highest generation that the platform has seen */
byte forgotten;

/* Attempts, by generation. */
#define IDLE      0
#define CLAIMED   1
#define VERIFIED  2
#define ANNOUNCED 3
#define REFUSED   4 /* the call certainly takes no effect */
#define CALLED    5 /* the call was answered */
#define ENDED     6
byte phase[ATTEMPTS + 1];
byte chosen[ATTEMPTS + 1] = NONE;
bool bound[ATTEMPTS + 1]; /* an earlier call may take effect */
byte seen[ATTEMPTS + 1];  /* the orders when it claimed */
bool proved[(ATTEMPTS + 1) * MEMBERS]; /* the member is known to be paused */

#define PROVED(g, m) proved[(g) * MEMBERS + (m)]
#define OTHER(g) (3 - leader - chosen[g])

inline promote(m) {
	assert(size[m] >= acked);
	if
	:: m != leader ->
		leader = m;
		if :: size[0] > size[m] -> size[0] = size[m] :: else fi;
		if :: size[1] > size[m] -> size[1] = size[m] :: else fi;
		if :: size[2] > size[m] -> size[2] = size[m] :: else fi;
		paused[0] = false; paused[1] = false; paused[2] = false;
		/* Pauses use the lowest valid term, so that late ones are refused now. */
		late_pause[0] = false; late_pause[1] = false; late_pause[2] = false
	:: else
	fi
}

inline call(g) {
	if
	:: g >= fence -> fence = g; promote(chosen[g])
	:: else
	fi
}

#define COMMIT :: d_step { size[leader] < COMMITS -> size[leader]++ }

#define RECEIVE(m) \
	:: d_step { m != leader && !paused[m] && size[m] < size[leader] -> \
		size[m]++; \
		if :: size[m] > acked -> acked = size[m] :: else fi }

#define LATE_ORDERS(m) \
	:: d_step { late_pause[m] -> late_pause[m] = false; if :: m != leader -> paused[m] = true :: else fi } \
	:: d_step { late_resume[m] -> late_resume[m] = false; paused[m] = false }

#define LATE_CALL(g) \
	:: d_step { late_call[g] != NONE -> late_call[g] = NONE; call(g) }

/* A VM that has announced its call makes it at once or not at all. */
#define PENDING(g) (late_call[g] != NONE || phase[g] == ANNOUNCED)

/* The claim takes over the candidate of a call that may take effect. */
#define CLAIM(g) \
	:: d_step { phase[g] == IDLE && generation == g - 1 -> \
		generation = g; phase[g] = CLAIMED; seen[g] = orders; \
		if \
		:: candidate != NONE && (PENDING(1) || PENDING(2) || PENDING(3)) -> bound[g] = true \
		:: else -> candidate = NONE \
		fi }

#ifdef MUTANT_UNBOUND
#define ELIGIBLE(g, m) (m != leader)
#else
#define ELIGIBLE(g, m) (m != leader && (!bound[g] || candidate == m))
#endif
#define CHOOSE(g, m) \
	:: d_step { phase[g] == CLAIMED && chosen[g] == NONE && ELIGIBLE(g, m) -> chosen[g] = m }

/* The pause is answered, carried out without an answer, or late. It proves nothing
 * while a resume may be carried out. */
#ifdef MUTANT_FORGET_RESUME
#define TRUSTED(m) true
#else
#define TRUSTED(m) (!resuming[m])
#endif
#define PAUSE(g, m) \
	:: atomic { phase[g] == CLAIMED && chosen[g] != NONE && chosen[g] != m && m != leader && !PROVED(g, m) -> \
		if \
		:: paused[m] = true; PROVED(g, m) = TRUSTED(m) \
		:: paused[m] = true \
		:: late_pause[m] = true \
		fi }

#ifdef MUTANT_UNPROVED
#define COVERED(g) true
#else
#define COVERED(g) PROVED(g, OTHER(g))
#endif
#ifdef MUTANT_BEHIND
#define HOLDS(g) true
#else
#define HOLDS(g) (size[chosen[g]] >= size[OTHER(g)])
#endif
#define VERIFY(g) \
	:: d_step { phase[g] == CLAIMED && chosen[g] != NONE && chosen[g] != leader && COVERED(g) && HOLDS(g) -> \
		phase[g] = VERIFIED }

/* The conditional update fails if another attempt has claimed, or if a replica was
 * resumed meanwhile. */
#ifdef MUTANT_UNANNOUNCED
#define ANNOUNCE(g) \
	:: d_step { phase[g] == VERIFIED -> phase[g] = ANNOUNCED }
#elif defined(MUTANT_RESUMED_MEANWHILE)
#define ANNOUNCE(g) \
	:: d_step { phase[g] == VERIFIED && generation == g -> candidate = chosen[g]; phase[g] = ANNOUNCED }
#else
#define ANNOUNCE(g) \
	:: d_step { phase[g] == VERIFIED && generation == g && orders == seen[g] -> \
		candidate = chosen[g]; phase[g] = ANNOUNCED }
#endif

/* The call is answered, carried out without an answer, late, or refused. */
#define CALL(g) \
	:: atomic { phase[g] == ANNOUNCED -> \
		if \
		:: d_step { phase[g] = CALLED; call(g) } \
		:: d_step { phase[g] = ENDED; call(g) } \
		:: d_step { phase[g] = ENDED; late_call[g] = chosen[g] } \
		:: phase[g] = REFUSED \
		fi }

/* A change is over when its holder has the answer, or when the candidate leads. */
#define FINISH(g) \
	:: d_step { phase[g] == CALLED && generation == g && fence == g -> phase[g] = ENDED; candidate = NONE }
#define LEDGER \
	:: d_step { candidate != NONE && leader == candidate -> candidate = NONE }

/* An attempt that fails lets the other replica receive again. The same conditional
 * update withdraws its own candidate, so it may do so only if no earlier call can take
 * effect. */
#ifdef MUTANT_RESUME_UNDER_CALL
#define MAY_GIVE_UP(g) (generation == g)
#else
#define MAY_GIVE_UP(g) (generation == g && !bound[g])
#endif
#define GIVE_UP(g) \
	:: d_step { (phase[g] == CLAIMED || phase[g] == VERIFIED || phase[g] == REFUSED) && chosen[g] != NONE && \
		chosen[g] != leader && MAY_GIVE_UP(g) -> \
		phase[g] = ENDED; candidate = NONE; \
		resuming[OTHER(g)] = true; late_resume[OTHER(g)] = true; orders++ }

/* A VM finds a replica paused though no call is announced. */
#define RESUME_FORGOTTEN(m) \
	:: d_step { forgotten < FORGOTTEN && paused[m] && m != leader && candidate == NONE -> \
		forgotten++; resuming[m] = true; late_resume[m] = true; orders++ }

/* The entry goes when the resume is known to be over. */
#define RESUMED(m) \
	:: d_step { resuming[m] && !late_resume[m] -> resuming[m] = false }

#define EACH_MEMBER(step, g) step(g, 0) step(g, 1) step(g, 2)
#define ATTEMPT(g) CLAIM(g) EACH_MEMBER(CHOOSE, g) EACH_MEMBER(PAUSE, g) VERIFY(g) ANNOUNCE(g) CALL(g) FINISH(g) \
	GIVE_UP(g) LATE_CALL(g)

init {
end:	do
	COMMIT
	LEDGER
	RECEIVE(0) RECEIVE(1) RECEIVE(2)
	LATE_ORDERS(0) LATE_ORDERS(1) LATE_ORDERS(2)
	RESUMED(0) RESUMED(1) RESUMED(2)
	RESUME_FORGOTTEN(0) RESUME_FORGOTTEN(1) RESUME_FORGOTTEN(2)
	ATTEMPT(1)
	ATTEMPT(2)
	ATTEMPT(3)
	od
}
