/*
 * Rate shares (docs/design.md, section 8): parts in the share table, leases from
 * the ring successor, reclaim, and transfers of tokens.
 *
 * Two independent models, chosen in the first step. Time is discrete; timers count
 * down. A VM's clock may be slow by SLIP ticks in each lease or transfer, which the
 * guard must absorb. Messages may be delayed, lost, or received again.
 *
 * Parts: the sum of the parts in use never exceeds the whole. A VM uses parts only
 * while its lease runs. A giver lowers its use before it writes the table; it raises
 * the use again only when its write cannot take effect any more. Only the ring
 * successor reclaims, after it granted nothing for lease + guard, and a successor
 * that restarted waits that long first. A reclaimed entry ends its incarnation.
 *
 * Transfers: what all buckets together can hold never exceeds the burst. The lender
 * lowers its capacity before it answers, until the lent token has expired at the
 * borrower, plus guard. The borrower credits each answer once.
 */
#define VMS 3
#define SLIP 1
#define LEASE 1 /* tick; two would take minutes */
#ifdef MUTANT_NO_LEASE_GUARD
#define GUARD 0
#else
#define GUARD SLIP
#endif
#ifdef MUTANT_NO_TRANSFER_GUARD
#define TRANSFER_GUARD 0
#else
#define TRANSFER_GUARD SLIP
#endif
#define WHOLE 3
#define NEXT(v) ((v + 1) % VMS)
#define PREVIOUS(v) ((v + VMS - 1) % VMS)
#define DECREMENT(x) if :: x > 0 -> x-- :: else fi

/* Parts. */
byte table[VMS];
byte use[VMS];      /* parts that the VM uses while its lease runs */
byte lease[VMS];    /* remaining time by the VM's own clock */
byte slip[VMS];     /* ticks that the VM's clock may still miss */
byte request[VMS];  /* lease that a renewal in flight would give */
byte grant[VMS];    /* lease that a grant in flight gives */
byte wait[VMS];     /* time until the successor of the VM may reclaim */
bool ended[VMS];    /* the entry was reclaimed or its process restarted */
byte writing[VMS];  /* receiver + 1 of a table write in flight */

#define USED(v) (lease[v] > 0 -> use[v] : 0)
#define PARTS_HOLD (USED(0) + USED(1) + USED(2) <= WHOLE)

#ifdef MUTANT_GIVE_UP /* raises the use although the write may still take effect */
#define SETTLED(v) true
#else
#define SETTLED(v) (writing[v] == 0)
#endif
#ifdef MUTANT_RESTART_RECLAIM
#define RESTART_WAIT 0
#else
#define RESTART_WAIT (LEASE + GUARD)
#endif

/* Any write of the table makes the writes in flight fail their condition. */
inline table_written() { writing[0] = 0; writing[1] = 0; writing[2] = 0 }

inline count_down(v) {
	if
	:: lease[v] > 0 -> lease[v]--
	:: lease[v] > 0 && slip[v] > 0 -> slip[v]--
	:: else
	fi;
	DECREMENT(request[v]);
	DECREMENT(grant[v]);
	DECREMENT(wait[v])
}

#define PARTS(v) \
	/* A renewal is counted from when it was sent. */ \
	:: d_step { !ended[v] && request[v] < LEASE -> request[v] = LEASE } \
	:: d_step { request[v] > 0 && table[v] > 0 && !ended[v] -> grant[v] = request[v]; wait[v] = LEASE + GUARD } \
	:: d_step { grant[v] > lease[v] && !ended[v] -> lease[v] = grant[v]; slip[v] = SLIP; assert(PARTS_HOLD) } \
	:: d_step { !ended[v] && SETTLED(v) && use[v] != table[v] -> use[v] = table[v]; assert(PARTS_HOLD) } \
	/* Lowers the use, then writes the table; the receiver learns it later. */ \
	:: d_step { !ended[v] && use[v] > 0 && use[v] == table[v] && writing[v] == 0 && !ended[NEXT(v)] -> \
		use[v]--; writing[v] = NEXT(v) + 1 } \
	:: d_step { !ended[v] && use[v] > 0 && use[v] == table[v] && writing[v] == 0 && !ended[PREVIOUS(v)] -> \
		use[v]--; writing[v] = PREVIOUS(v) + 1 } \
	:: d_step { writing[v] > 0 && table[v] > 0 && !ended[writing[v] - 1] -> \
		table[v]--; table[writing[v] - 1]++; table_written() } \
	/* The successor reclaims the entry, which ends the incarnation. */ \
	:: d_step { wait[v] == 0 && table[v] > 0 && !ended[NEXT(v)] -> \
		table[NEXT(v)] = table[NEXT(v)] + table[v]; table[v] = 0; ended[v] = true; table_written() } \
	/* Restarts; the entry of the old incarnation waits for its reclaim. */ \
	:: d_step { !ended[v] -> use[v] = 0; lease[v] = 0; request[v] = 0; grant[v] = 0; \
		ended[v] = true; wait[PREVIOUS(v)] = RESTART_WAIT } \
	/* A new incarnation starts with zero parts. */ \
	:: d_step { ended[v] && table[v] == 0 -> ended[v] = false; use[v] = 0; lease[v] = 0; \
		request[v] = 0; grant[v] = 0; slip[v] = 0; wait[PREVIOUS(v)] = RESTART_WAIT }

/* One transfer; transfers do not affect each other. */
#define EXPIRY 3
byte asked;     /* remaining life of the lent token by the borrower's clock */
byte late;      /* ticks that the borrower's clock may still miss */
bool asking;    /* the question is in flight */
bool answering; /* the answer is in flight */
byte lowered;   /* remaining time of the lender's lowered capacity */
byte credited;

#define TOKENS_HOLD ((asked > 0 -> credited : 0) <= (lowered > 0 -> 1 : 0))

#ifdef MUTANT_CREDIT_DUPLICATE
#define CREDITABLE (credited < 2)
#else
#define CREDITABLE (credited == 0)
#endif
#ifdef MUTANT_CREDIT_LATE /* without the bound on the age of the answer */
#define IN_TIME true
#define RENEW asked = EXPIRY
#else
#define IN_TIME (asked > 0)
#define RENEW skip
#endif

inline count_transfer() {
	if
	:: asked > 0 -> asked--
	:: asked > 0 && late > 0 -> late--
	:: else
	fi;
	DECREMENT(lowered)
}

#define TRANSFER \
	/* Asks under a new identifier, once nothing of the last transfer is left. */ \
	:: d_step { asked == 0 && lowered == 0 && !asking && !answering -> \
		asked = EXPIRY; late = SLIP; asking = true; credited = 0 } \
	:: d_step { asking -> asking = false; lowered = EXPIRY + TRANSFER_GUARD; answering = true } \
	:: d_step { asking -> asking = false } \
	:: d_step { answering && IN_TIME && CREDITABLE -> credited++; RENEW; assert(TOKENS_HOLD) } \
	:: d_step { answering -> answering = false }

init {
	if
	:: goto transfers
	:: goto parts
	fi;

parts:	skip;
	d_step {
		table[0] = 1; table[1] = 1; table[2] = 1;
		use[0] = 1; use[1] = 1; use[2] = 1;
		lease[0] = LEASE; lease[1] = LEASE; lease[2] = LEASE;
		wait[0] = LEASE + GUARD; wait[1] = LEASE + GUARD; wait[2] = LEASE + GUARD
	}
end_parts:
	do
	:: atomic { count_down(0); count_down(1); count_down(2); assert(PARTS_HOLD) }
	PARTS(0) PARTS(1) PARTS(2)
	od;

transfers:
	skip;
end_transfers:
	do
	:: atomic { count_transfer(); assert(TOKENS_HOLD) }
	TRANSFER
	od
}
