/* Models which daemon may send orders to an engine: leases with fencing numbers,
 * orders, and configuration revisions. There are two daemons, one engine and one
 * table in the store. The checked properties are the assertions.
 *
 * Time is discrete and unbounded. The process clock may advance all timers by one
 * unit at any moment, and a process may be delayed for any time between two of its
 * steps. This models paused processes, slow networks and a slow store. All other
 * failures share a budget of MAX_FAULTS and occur in any combination: the response
 * to a write is lost, a write takes effect after its sender has given up on it,
 * the store is down, a daemon is killed and restarts, the engine crashes during a
 * reconfiguration, an order is duplicated.
 *
 * With ENGINE_CHECKS_FENCING the engine checks fencing numbers and declares no
 * order read timeout. Without it the engine ignores fencing numbers, and drops an
 * order that is not complete READ_TIMEOUT after its 100 Continue.
 *
 * NO_SUCCESSOR_WAIT, EXPIRY_FROM_ANSWER, NO_FENCING_CHECK, NO_CHECK_AFTER_100,
 * REUSED_CONNECTION and NO_HEAD_READ each disable one rule of the protocol;
 * model/check requires that an assertion then fails.
 */

#ifndef LEASE_DURATION
#define LEASE_DURATION 3
#endif
#ifndef READ_TIMEOUT
#define READ_TIMEOUT 1 /* the engine's order read timeout */
#endif
#ifndef MAX_WRITES
#define MAX_WRITES 4 /* writes to the lease row */
#endif
#ifndef MAX_ORDERS
#define MAX_ORDERS 3 /* orders sent by both daemons together */
#endif
#ifndef MAX_FAULTS
#define MAX_FAULTS 2 /* failures other than delays */
#endif

/* conditions that a variant disables or replaces */
#ifdef NO_SUCCESSOR_WAIT
#define MAY_TAKE_LEASE true
#else
#define MAY_TAKE_LEASE (seenHolder == 0 || seenHolder == identity || rowAge[who] == LEASE_DURATION)
#endif
#ifdef NO_HEAD_READ
#define CONFIG_IS_CURRENT true
#else
#define CONFIG_IS_CURRENT (headRevision != 0 && daemonRevision[who] >= headRevision)
#endif
#ifdef NO_CHECK_AFTER_100
#define LEASE_COVERS_ORDER true
#else
#ifdef ENGINE_CHECKS_FENCING
#define LEASE_COVERS_ORDER (leaseLeft[who] > 0)
#else
#define LEASE_COVERS_ORDER (leaseLeft[who] > READ_TIMEOUT)
#endif
#endif
#ifdef ENGINE_CHECKS_FENCING
#define ORDER_CANNOT_TAKE_EFFECT true
#else
#define ORDER_CANNOT_TAKE_EFFECT (orderAge[who] > READ_TIMEOUT)
#endif

#ifndef REVISIONS
#define REVISIONS 1 /* highest configuration revision */
#endif

/* outcomes of a write */
#define APPLIED 1
#define REJECTED 2
#define UNANSWERED 3

/* the store: the lease row, the newest configuration revision and availability */
byte rowHolder = 1, rowFencing = 1, rowVersion = 1, configHead = 1;
bool storeUp = true;
byte writesLeft = MAX_WRITES, faultsLeft = MAX_FAULTS, ordersLeft = MAX_ORDERS;

/* a write that its sender has given up on but that may still take effect;
 * delayedWriter is 0 when there is none */
byte delayedWriter, delayedVersion, delayedFencing;

/* timers of daemons 1 and 2: the time left of the lease, the time since the write in
 * progress was sent, since the lease row was last read, and since the last order
 * was sent */
byte leaseLeft[3] = 0, writeAge[3] = LEASE_DURATION, rowAge[3] = LEASE_DURATION, orderAge[3] = READ_TIMEOUT + 1;
/* the configuration revision that each daemon has applied */
byte daemonRevision[3] = 1;

/* the engine: the last accepted order, and the configuration revision it was sent
 * with. An order number is the fencing number times 4 plus a sequence number. */
byte lastOrder, engineRevision, incarnation;
bool reconfiguring;

/* the order in flight from each daemon: its number (0 for none), its sender, its
 * configuration revision, the engine incarnation it is for, and the time since the
 * 100 Continue */
byte inFlight[3], inFlightSender[3], inFlightRevision[3], inFlightIncarnation[3], continueAge[3] = READ_TIMEOUT + 1;

inline advance(timer, limit) {
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
			:: leaseLeft[i] > 0 -> leaseLeft[i]--
			:: else
			fi;
			advance(writeAge[i], LEASE_DURATION);
			advance(rowAge[i], LEASE_DURATION);
			advance(orderAge[i], READ_TIMEOUT + 1);
			advance(continueAge[i], READ_TIMEOUT + 1);
			i++
		:: else -> break
		od;
		i = 0 }
	od
}

active proctype store() {
end:	do
	:: atomic { storeUp && faultsLeft > 0 -> storeUp = false; faultsLeft-- }
	:: atomic { !storeUp -> storeUp = true }
	:: atomic { storeUp && configHead < REVISIONS -> configHead++ }
	:: atomic { delayedWriter != 0 && storeUp ->
		if
		:: rowVersion == delayedVersion -> rowVersion++; rowHolder = delayedWriter; rowFencing = delayedFencing
		:: else
		fi;
		delayedWriter = 0; delayedVersion = 0; delayedFencing = 0 }
	od
}

/* receiveOrder accepts or drops the order in flight from a daemon. */
inline receiveOrder(who) {
	if
	:: inFlightIncarnation[who] != incarnation /* the engine restarted; the connection is closed */
#ifndef ENGINE_CHECKS_FENCING
#ifndef REUSED_CONNECTION
	:: inFlightIncarnation[who] == incarnation && continueAge[who] > READ_TIMEOUT
#endif
#else
#ifndef NO_FENCING_CHECK
	:: inFlightIncarnation[who] == incarnation && (inFlight[who] <= lastOrder || reconfiguring)
#endif
#endif
	:: else ->
		/* G1: orders take effect in increasing order, one at a time */
		assert(inFlight[who] > lastOrder);
		assert(!reconfiguring);
		/* G9: the engine never returns to an older configuration */
		assert(inFlightRevision[who] >= engineRevision);
#ifndef ENGINE_CHECKS_FENCING
		/* G3: the sender holds the lease when the order takes effect */
		assert(rowHolder == inFlightSender[who] && rowFencing == inFlight[who] / 4);
#endif
		lastOrder = inFlight[who]; engineRevision = inFlightRevision[who]; reconfiguring = true
	fi;
#ifdef ENGINE_CHECKS_FENCING
	if
	:: faultsLeft > 0 -> faultsLeft-- /* a duplicate stays in flight */
	:: inFlight[who] = 0
	fi
#else
	inFlight[who] = 0
#endif
	;
	if
	:: inFlight[who] == 0 -> inFlightSender[who] = 0; inFlightRevision[who] = 0; inFlightIncarnation[who] = 0; continueAge[who] = READ_TIMEOUT + 1
	:: else
	fi
}

active proctype engine() {
end:	do
	:: atomic { inFlight[1] != 0 -> receiveOrder(1) }
	:: atomic { inFlight[2] != 0 -> receiveOrder(2) }
	:: atomic { reconfiguring -> reconfiguring = false }
	:: atomic { reconfiguring && faultsLeft > 0 -> faultsLeft--; reconfiguring = false; incarnation++ }
	od
}

/* writeRow tries to write the lease row with a fencing number; the outcome is in
 * result. */
inline writeRow(newFencing) {
	atomic { writesLeft > 0 -> writesLeft--; writeAge[who] = 0; wantedFencing = newFencing }
	if
	:: atomic { storeUp ->
		if
		:: rowVersion == seenVersion -> rowVersion++; rowHolder = identity; rowFencing = wantedFencing;
			if
			:: faultsLeft > 0 -> faultsLeft--; result = UNANSWERED
			:: result = APPLIED
			fi
		:: else -> result = REJECTED
		fi }
	:: atomic { faultsLeft > 0 && delayedWriter == 0 -> faultsLeft--;
		delayedWriter = identity; delayedVersion = seenVersion; delayedFencing = wantedFencing; result = UNANSWERED }
	:: atomic { !storeUp -> result = UNANSWERED }
	fi
}

inline applyGrant() {
	if
	:: heldFencing != wantedFencing -> engineReady = false; headRevision = 0; seq = 0
	:: else
	fi;
	heldFencing = wantedFencing; seenVersion++; seenHolder = identity; seenFencing = wantedFencing;
#ifdef EXPIRY_FROM_ANSWER
	leaseLeft[who] = LEASE_DURATION;
#else
	leaseLeft[who] = LEASE_DURATION - writeAge[who];
#endif
	/* G3: at most one daemon holds the lease */
	assert(leaseLeft[1] == 0 || leaseLeft[2] == 0)
}

proctype daemon(byte who) {
	/* each incarnation of a daemon has its own identity */
	byte identity = who;
	/* daemon 1 holds the lease at the start */
	byte seenVersion = 1, seenHolder = 1, seenFencing = 1, wantedFencing, heldFencing = (who == 1 -> 1 : 0), seq, headRevision, pendingOrder, result, seenIncarnation;
	bool rowKnown = (who == 1), engineReady;
end:	do
	:: atomic { storeUp && (!rowKnown || seenVersion != rowVersion) ->
		rowAge[who] = 0; rowKnown = true; seenVersion = rowVersion; seenHolder = rowHolder; seenFencing = rowFencing;
		if
		:: rowHolder != identity || rowFencing != heldFencing -> leaseLeft[who] = 0
		:: else
		fi }
	:: atomic { storeUp && daemonRevision[who] < configHead -> daemonRevision[who] = configHead }
	/* take over the lease from another daemon, or retake it after it expired */
	:: rowKnown && leaseLeft[who] == 0 && MAY_TAKE_LEASE -> writeRow(seenFencing + 1); goto writeAnswered
	/* renew the lease */
	:: rowKnown && seenHolder == identity && heldFencing == seenFencing && leaseLeft[who] > 0 -> writeRow(heldFencing);
writeAnswered:	if
		/* after a lost response, read the row to learn whether the write took effect */
		:: result == UNANSWERED -> atomic { storeUp ->
			if
			:: rowHolder == identity && rowFencing == wantedFencing && rowVersion == seenVersion + 1 -> result = APPLIED
			:: else -> result = REJECTED
			fi }
		:: else
		fi;
		atomic {
			if
			:: result == APPLIED -> applyGrant()
			:: else -> rowKnown = false
			fi;
			result = 0; wantedFencing = 0; writeAge[who] = LEASE_DURATION }
	/* read the newest configuration revision and the engine's state */
	:: atomic { leaseLeft[who] > 0 && headRevision == 0 && storeUp -> headRevision = configHead }
	:: atomic { leaseLeft[who] > 0 && pendingOrder == 0 && !engineReady && !reconfiguring -> engineReady = true }
	/* complete an order: it has taken effect, or can no longer take effect */
	:: atomic { pendingOrder != 0 && inFlight[who] == 0 && !reconfiguring && (lastOrder == pendingOrder || ORDER_CANNOT_TAKE_EFFECT) -> pendingOrder = 0; orderAge[who] = READ_TIMEOUT + 1; engineReady = false }
	/* send an order */
	:: atomic { leaseLeft[who] > 0 && engineReady && pendingOrder == 0 && inFlight[who] == 0 && ordersLeft > 0 && CONFIG_IS_CURRENT ->
		ordersLeft--; seq++; continueAge[who] = 0; seenIncarnation = incarnation }
		/* the 100 Continue may arrive at any later time */
		if
		:: atomic { LEASE_COVERS_ORDER ->
			pendingOrder = heldFencing * 4 + seq; orderAge[who] = 0; engineReady = false }
			/* a pause between the check and the send must not break a property */
			atomic { inFlight[who] = pendingOrder; inFlightSender[who] = identity; inFlightRevision[who] = daemonRevision[who]; inFlightIncarnation[who] = seenIncarnation }
		:: atomic { else -> engineReady = false; continueAge[who] = READ_TIMEOUT + 1 }
		fi;
		seenIncarnation = 0
	/* killed and restarted with a new identity; the configuration revision is read from
	 * the store, or from the peer when the store is down */
	:: atomic { faultsLeft > 0 -> faultsLeft--; identity = identity + 2;
		leaseLeft[who] = 0; rowAge[who] = LEASE_DURATION; orderAge[who] = READ_TIMEOUT + 1;
		rowKnown = false; seenVersion = 0; seenHolder = 0; seenFencing = 0;
		heldFencing = 0; seq = 0; headRevision = 0; engineReady = false; pendingOrder = 0;
		if
		:: storeUp -> daemonRevision[who] = configHead
		:: else -> daemonRevision[who] = daemonRevision[3 - who]
		fi }
	od
}

init {
	atomic { leaseLeft[1] = LEASE_DURATION; run daemon(1); run daemon(2) }
}
