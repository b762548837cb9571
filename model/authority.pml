/* The authority over one engine: lease, fencing number, order, configuration
 * number. Two daemons, one engine, one table.
 *
 * Time is discrete and has no bound: the process clock lets every timer grow by
 * one unit at any moment, and any process may be delayed for any time between
 * two of its steps. This stands for pauses, slow networks and a slow store. The
 * other failures share a budget of FAULTS, in any combination: the answer to a
 * write is lost, a write takes effect after its sender gave it up, the store is
 * down, a daemon is killed and starts again, the engine crashes halfway through
 * a change, an order is duplicated.
 *
 * CHECKS: the engine checks fencing numbers and declares no read timeout.
 * Otherwise it ignores them and drops an order that is not complete R after its
 * 100 Continue. The properties are the assertions.
 *
 * NO_WAIT, EXPIRY_FROM_ANSWER, NO_FENCING, NO_CHECK, BUFFERED and NO_HEAD each
 * turn one rule off; model/check requires that an assertion then fails.
 */

#ifndef L
#define L 3 /* duration of a lease */
#endif
#ifndef R
#define R 1 /* order read timeout */
#endif
#ifndef WRITES
#define WRITES 4 /* writes to the lease row */
#endif
#ifndef ORDERS
#define ORDERS 3 /* orders sent by all daemons */
#endif
#ifndef FAULTS
#define FAULTS 2 /* failures besides delays */
#endif

/* the rules that variants turn off */
#ifdef NO_WAIT
#define RIPE true
#else
#define RIPE (seenHolder == 0 || seenHolder == self || seenAge[who] == L)
#endif
#ifdef NO_HEAD
#define UP_TO_DATE true
#else
#define UP_TO_DATE (headRead != 0 && cfg[who] >= headRead)
#endif
#ifdef NO_CHECK
#define MAY_SEND true
#else
#ifdef CHECKS
#define MAY_SEND (left[who] > 0)
#else
#define MAY_SEND (left[who] > R)
#endif
#endif
#ifdef CHECKS
#define SETTLED true
#else
#define SETTLED (orderAge[who] > R)
#endif

#ifndef HEADS
#define HEADS 1 /* configuration numbers */
#endif

#define APPLIED 1
#define REFUSED 2
#define UNANSWERED 3

/* the table */
byte holder = 1, fencing = 1, version = 1, head = 1;
bool up = true;
byte writes = WRITES, faults = FAULTS, orders = ORDERS;

/* a write that its sender has given up and that may still take effect */
byte lateBy, lateVersion, lateFencing;

/* timers of the daemons 1 and 2: what is left of the lease, and the ages of the
 * write under way, of the row last seen, and of the order sent */
byte left[3] = 0, sentAge[3] = L, seenAge[3] = L, orderAge[3] = R + 1;
byte cfg[3] = 1;

/* the engine */
byte number, engineCfg, incarnation;
bool changing;

/* the order of each daemon on its way: number (0 for none), sender, configuration
 * number, incarnation, age since the 100 Continue */
byte body[3], bodyBy[3], bodyCfg[3], bodyFor[3], bodyAge[3] = R + 1;

inline grow(timer, limit) {
	if
	:: timer < limit -> timer++
	:: else
	fi
}

active proctype clock() {
	byte i;
end:	do
	:: atomic {
		i = 1;
		do
		:: i <= 2 ->
			if
			:: left[i] > 0 -> left[i]--
			:: else
			fi;
			grow(sentAge[i], L);
			grow(seenAge[i], L);
			grow(orderAge[i], R + 1);
			grow(bodyAge[i], R + 1);
			i++
		:: else -> break
		od;
		i = 0 }
	od
}

active proctype store() {
end:	do
	:: atomic { up && faults > 0 -> up = false; faults-- }
	:: atomic { !up -> up = true }
	:: atomic { up && head < HEADS -> head++ }
	:: atomic { lateBy != 0 && up ->
		if
		:: version == lateVersion -> version++; holder = lateBy; fencing = lateFencing
		:: else
		fi;
		lateBy = 0; lateVersion = 0; lateFencing = 0 }
	od
}

/* accept is the engine's decision on the order of a daemon. */
inline accept(who) {
	if
	:: bodyFor[who] != incarnation /* its connection is gone */
#ifndef CHECKS
#ifndef BUFFERED
	:: bodyFor[who] == incarnation && bodyAge[who] > R
#endif
#else
#ifndef NO_FENCING
	:: bodyFor[who] == incarnation && (body[who] <= number || changing)
#endif
#endif
	:: else ->
		/* G1: orders take effect in their order, one at a time */
		assert(body[who] > number);
		assert(!changing);
		/* G9: the engine never goes back to an older configuration */
		assert(bodyCfg[who] >= engineCfg);
#ifndef CHECKS
		/* G3: the sender holds the lease at this moment */
		assert(holder == bodyBy[who] && fencing == body[who] / 4);
#endif
		number = body[who]; engineCfg = bodyCfg[who]; changing = true
	fi;
#ifdef CHECKS
	if
	:: faults > 0 -> faults-- /* a duplicate stays on its way */
	:: body[who] = 0
	fi
#else
	body[who] = 0
#endif
	;
	if
	:: body[who] == 0 -> bodyBy[who] = 0; bodyCfg[who] = 0; bodyFor[who] = 0; bodyAge[who] = R + 1
	:: else
	fi
}

active proctype engine() {
end:	do
	:: atomic { body[1] != 0 -> accept(1) }
	:: atomic { body[2] != 0 -> accept(2) }
	:: atomic { changing -> changing = false }
	:: atomic { changing && faults > 0 -> faults--; changing = false; incarnation++ }
	od
}

/* commit tries to write the row; its outcome is in result. */
inline commit(f) {
	atomic { writes > 0 -> writes--; sentAge[who] = 0; want = f }
	if
	:: atomic { up ->
		if
		:: version == seen -> version++; holder = self; fencing = want;
			if
			:: faults > 0 -> faults--; result = UNANSWERED
			:: result = APPLIED
			fi
		:: else -> result = REFUSED
		fi }
	:: atomic { faults > 0 && lateBy == 0 -> faults--;
		lateBy = self; lateVersion = seen; lateFencing = want; result = UNANSWERED }
	:: atomic { !up -> result = UNANSWERED }
	fi
}

inline grant() {
	if
	:: mine != want -> ready = false; headRead = 0; seq = 0
	:: else
	fi;
	mine = want; seen++; seenHolder = self; seenFencing = want;
#ifdef EXPIRY_FROM_ANSWER
	left[who] = L;
#else
	left[who] = L - sentAge[who];
#endif
	/* G3: at most one daemon has authority */
	assert(left[1] == 0 || left[2] == 0)
}

proctype daemon(byte who) {
	/* each run of a daemon has an identity of its own */
	byte self = who;
	/* daemon 1 holds the lease at the start */
	byte seen = 1, seenHolder = 1, seenFencing = 1, want, mine = (who == 1 -> 1 : 0), seq, headRead, flight, result, inc;
	bool known = (who == 1), ready;
end:	do
	:: atomic { up && (!known || seen != version) ->
		seenAge[who] = 0; known = true; seen = version; seenHolder = holder; seenFencing = fencing;
		if
		:: holder != self || fencing != mine -> left[who] = 0
		:: else
		fi }
	:: atomic { up && cfg[who] < head -> cfg[who] = head }
	/* take the lease as a successor, or anew after it lapsed */
	:: known && left[who] == 0 && RIPE -> commit(seenFencing + 1); goto answer
	/* renew */
	:: known && seenHolder == self && mine == seenFencing && left[who] > 0 -> commit(mine);
answer:	if
		/* after a lost answer, the row shows whether the write took effect */
		:: result == UNANSWERED -> atomic { up ->
			if
			:: holder == self && fencing == want && version == seen + 1 -> result = APPLIED
			:: else -> result = REFUSED
			fi }
		:: else
		fi;
		atomic {
			if
			:: result == APPLIED -> grant()
			:: else -> known = false
			fi;
			result = 0; want = 0; sentAge[who] = L }
	/* read the head of the configuration and the engine's state */
	:: atomic { left[who] > 0 && headRead == 0 && up -> headRead = head }
	:: atomic { left[who] > 0 && flight == 0 && !ready && !changing -> ready = true }
	/* confirm an order: its effect shows, or it can have none any more */
	:: atomic { flight != 0 && body[who] == 0 && !changing && (number == flight || SETTLED) -> flight = 0; orderAge[who] = R + 1; ready = false }
	/* send an order */
	:: atomic { left[who] > 0 && ready && flight == 0 && body[who] == 0 && orders > 0 && UP_TO_DATE ->
		orders--; seq++; bodyAge[who] = 0; inc = incarnation }
		/* the 100 Continue arrives at any later time */
		if
		:: atomic { MAY_SEND ->
			flight = mine * 4 + seq; orderAge[who] = 0; ready = false }
			/* a pause between the check and the send changes nothing */
			atomic { body[who] = flight; bodyBy[who] = self; bodyCfg[who] = cfg[who]; bodyFor[who] = inc }
		:: atomic { else -> ready = false; bodyAge[who] = R + 1 }
		fi;
		inc = 0
	/* killed; a new run starts and learns the highest of the table and the peer */
	:: atomic { faults > 0 -> faults--; self = self + 2;
		left[who] = 0; seenAge[who] = L; orderAge[who] = R + 1;
		known = false; seen = 0; seenHolder = 0; seenFencing = 0;
		mine = 0; seq = 0; headRead = 0; ready = false; flight = 0;
		if
		:: up -> cfg[who] = head
		:: else -> cfg[who] = cfg[3 - who]
		fi }
	od
}

init {
	atomic { left[1] = L; run daemon(1); run daemon(2) }
}
