/*
 * Acknowledgement together with promotion (docs/design.md, section 5).
 *
 * Three members, bounded writes and terms. Every step of the protocol is one atomic
 * step. A message may be delayed or lost because its step may be taken late or
 * never; a paused member or a dead proposer is one that takes no step; an answer
 * may be lost because a step may take effect without being recorded. The conditional
 * update of the platform's object gives every term one proposer, so a change is
 * identified by its term, and changes of all terms run side by side: a later one is
 * the takeover of an earlier one.
 *
 * A log is the list of the terms of its entries; with one primary per term, term and
 * position identify an entry. A status that confirms a write may arrive late; the
 * model acknowledges when the status is sent, which is the strictest moment, because
 * the property is checked against primaries promoted before and after.
 *
 * Properties:
 * 1. An entry confirmed in a term is in the log of the primary of every higher term,
 *    whether that primary was promoted before or after the confirmation. Hence no
 *    write is acknowledged in an old term after a newer primary started without it.
 *    Entries of lower terms are confirmed, too, when an entry of the term follows
 *    them; this is how a write without an answer is resolved.
 * 2. Once an entry of a term is confirmed, an entry of a lower term that its primary
 *    started without never appears in the log of a later primary. Hence "aborted" is
 *    final when it is said after that.
 */
#if !defined(TERMS) && defined(MUTANT)
#define TERMS 3 /* enough to catch the mutants */
#endif
#ifndef TERMS
#define TERMS 4 /* highest term; term 1 is the initial primary's */
#endif
#ifndef WRITES
#define WRITES 2
#endif
#define MEMBERS 3
#define LENGTH (WRITES + TERMS - 1) /* each promotion writes one entry */

#ifdef MUTANT_FENCE_MINORITY
#define MAJORITY 1
#else
#define MAJORITY 2
#endif

#define FOLLOWING 0 /* the primary of its term */
#define PRIMARY   1
#define FENCED    2
byte term[MEMBERS];
byte role[MEMBERS];
byte size[MEMBERS];
byte log[MEMBERS * LENGTH];
byte writes;

/* Entries confirmed in each term, as bit sets. */
int acked[TERMS + 1];

/* The highest term of the platform's object, and the change of each term. */
#define IDLE      0
#define FENCING   1
#define PROMOTING 2
#define DONE      3
byte object_term;
byte change[TERMS + 1];
byte answered[TERMS + 1]; /* bit set of members whose fence was answered */
byte chosen[TERMS + 1];
int held[TERMS + 1];      /* entries of the primary's log when it was promoted */

/* Variables of one step. */
byte i, same, best;

#define ENTRY(t, position) (1 << (((t) - 1) * LENGTH + (position)))
#define LOG(m, position) log[(m) * LENGTH + (position)]
#define LAST(m) (size[m] == 0 -> 0 : LOG(m, size[m] - 1))

inline append(m) {
	LOG(m, size[m]) = term[m];
	size[m]++
}

/* Copies the next entry that a replica lacks; a diverging tail is dropped. */
inline replicate(from, to) {
	same = 0;
	do
	:: same < size[from] && same < size[to] && LOG(from, same) == LOG(to, same) -> same++
	:: else -> break
	od;
	i = same;
	do
	:: i < size[to] -> LOG(to, i) = 0; i++
	:: else -> break
	od;
	size[to] = same;
	if
	:: same < size[from] -> LOG(to, same) = LOG(from, same); size[to]++
	:: else
	fi;
	same = 0; i = 0
}

/* What the primaries of the terms t < u must agree on. */
#define LOWER(t) (ENTRY(t, 0) - 1)
#ifdef MUTANT_EARLY_ABORT
#define FINAL(t) (change[t] == DONE)
#else
#define FINAL(t) (acked[t] != 0)
#endif
#define AGREE(t, u) ((acked[t] & ~held[u]) == 0 && \
	(!FINAL(t) || (held[u] & LOWER(t) & ~held[t]) == 0))

/* Confirms the entries that member m has in common with the primary p of term t. */
inline acknowledge(t, m, p) {
	i = 0;
	do
	:: i < size[m] && i < size[p] && LOG(m, i) == LOG(p, i) ->
		acked[t] = acked[t] | ENTRY(LOG(p, i), i);
		i++
	:: else -> break
	od;
	i = t + 1;
	do
	:: i <= TERMS ->
		assert(change[i] != DONE || AGREE(t, i));
		i++
	:: else -> break
	od;
	i = 0
}

inline record_promotion(t, m) {
	i = 0;
	do
	:: i < size[m] -> held[t] = held[t] | ENTRY(LOG(m, i), i); i++
	:: else -> break
	od;
	i = 1;
	do
	:: i < t ->
		assert(change[i] != DONE || AGREE(i, t));
		i++
	:: else -> break
	od;
	i = 0
}

#ifdef MUTANT_LEAST_ADVANCED
#define BETTER(x, y) (LAST(x) < LAST(y) || (LAST(x) == LAST(y) && size[x] < size[y]))
#else
#define BETTER(x, y) (LAST(x) > LAST(y) || (LAST(x) == LAST(y) && size[x] > size[y]))
#endif
#define ANSWERS(t) ((answered[t] & 1) + ((answered[t] >> 1) & 1) + ((answered[t] >> 2) & 1))

/* Chooses and records the choice, if the object was not taken over. A fenced log
 * changes only after a promotion of its term or a fence of a higher one. Neither
 * happened while the object still has the proposer's term, so reading the logs now
 * equals the answers to the fence. */
inline choose(t) {
	best = MEMBERS; i = 0;
	do
	:: i < MEMBERS ->
		if
		:: ((answered[t] >> i) & 1) && (best == MEMBERS || BETTER(i, best)) -> best = i
		:: else
		fi;
		i++
	:: else -> break
	od;
	chosen[t] = best; change[t] = PROMOTING; answered[t] = 0;
	best = 0; i = 0
}

#define WRITE(m) \
	:: d_step { role[m] == PRIMARY && writes < WRITES -> writes++; append(m) }

#define COPY(from, to) \
	:: d_step { role[from] == PRIMARY && role[to] == FOLLOWING && term[to] == term[from] && \
		(size[to] != size[from] || LAST(to) != LAST(from)) -> replicate(from, to) }

/* A status of member m confirms entries of term t, whose primary is p: those that
 * WITNESS and p have in common. Under the real rule m's log is the beginning of the
 * log that p had in the term, so m is compared with itself. */
#define SERVES(t, p) (term[p] == t && role[p] == PRIMARY && size[p] > 0)
#ifdef MUTANT_CONFIRM_ANY_TERM /* compares points without the term of the status */
#define CONFIRMS(t, m, p) (m != p && LAST(m) >= t && SERVES(t, p))
#define WITNESS(m, p) p
#elif defined(MUTANT_CONFIRM_OLD_ENTRY) /* no entry of the term follows */
#define CONFIRMS(t, m, p) (m != p && term[m] == t && role[m] == FOLLOWING && SERVES(t, p))
#define WITNESS(m, p) m
#define REFERENCE(m, p) p
#elif defined(MUTANT_ACK_WITHOUT_REPLICA)
#define CONFIRMS(t, m, p) (term[m] == t && LAST(m) == t)
#define WITNESS(m, p) m
#else
#define CONFIRMS(t, m, p) (m != p && term[m] == t && role[m] == FOLLOWING && LAST(m) == t)
#define WITNESS(m, p) m
#endif
#ifndef REFERENCE
#define REFERENCE(m, p) WITNESS(m, p)
#endif
#define ACKNOWLEDGE(t, m) \
	:: d_step { change[t] == DONE && CONFIRMS(t, m, chosen[t]) && size[WITNESS(m, chosen[t])] > 0 && \
		!(acked[t] & ENTRY(LAST(WITNESS(m, chosen[t])), size[WITNESS(m, chosen[t])] - 1)) -> \
		acknowledge(t, WITNESS(m, chosen[t]), REFERENCE(m, chosen[t])) }

#define FENCE(t, m) \
	:: atomic { change[t] == FENCING && !((answered[t] >> m) & 1) && \
		(term[m] < t || (term[m] == t && role[m] == FENCED)) -> \
		term[m] = t; role[m] = FENCED; \
		if \
		:: answered[t] = answered[t] | (1 << m) \
		:: skip /* the answer is lost */ \
		fi }

/* A proposal of the next term; the proposer before may be alive, slow or dead. */
#define PROPOSE(t) \
	:: d_step { object_term == t - 1 -> object_term = t; change[t] = FENCING }
#define CHOOSE(t) \
	:: d_step { change[t] == FENCING && object_term == t && ANSWERS(t) >= MAJORITY -> choose(t) }
#define PROMOTE(t) \
	:: d_step { change[t] == PROMOTING && term[chosen[t]] == t && role[chosen[t]] == FENCED -> \
		record_promotion(t, chosen[t]); \
		change[t] = DONE; role[chosen[t]] = PRIMARY; append(chosen[t]) }

/* Any VM may tell a member to follow a promoted primary, at any later time. */
#define FOLLOW(t, m) \
	:: d_step { change[t] == DONE && m != chosen[t] && \
		(term[m] < t || (term[m] == t && role[m] == FENCED)) -> term[m] = t; role[m] = FOLLOWING }

#define EACH_MEMBER(step, t) step(t, 0) step(t, 1) step(t, 2)
#define CHANGE(t) PROPOSE(t) EACH_MEMBER(FENCE, t) CHOOSE(t) PROMOTE(t) EACH_MEMBER(FOLLOW, t) \
	EACH_MEMBER(ACKNOWLEDGE, t)

init {
	d_step {
		object_term = 1; change[1] = DONE;
		term[0] = 1; term[1] = 1; term[2] = 1;
		role[0] = PRIMARY
	}
end:	do
	WRITE(0) WRITE(1) WRITE(2)
	COPY(0, 1) COPY(0, 2) COPY(1, 0) COPY(1, 2) COPY(2, 0) COPY(2, 1)
	EACH_MEMBER(ACKNOWLEDGE, 1)
	CHANGE(2)
	CHANGE(3)
#if TERMS > 3
	CHANGE(4)
#endif
	od
}
