/* Models which daemon may send stage orders to an engine of the platform, whose store
 * comes back from older copies. There are two daemons, one engine and the lease row,
 * with the marks of ended eras. The checked properties are the assertions in deliver.
 *
 * Time is discrete. The clock may advance all timers by one unit at any moment, and a
 * process may be delayed for any time between two of its steps. An order reaches the
 * engine within one unit or not at all, because its sender's call times out. All other
 * failures share a budget of MAX_FAULTS and occur in any combination: the response to
 * a write is lost, a write takes effect after its sender has given up on it, a daemon
 * is killed and restarts, the store comes back from a copy that was taken at any
 * earlier moment and gives out versions again.
 *
 * NO_RESTORED_WAIT, HOLDER_IN_COPY_GOES_ON, NO_ERA_FENCING, NO_MARKS, GRANT_IN_COPY
 * and NO_MIN_LEASE each disable one rule of the protocol; model/check requires that an
 * assertion then fails.
 */

#define DURATION 3 /* of a lease */
#define PER_ERA 5  /* fencing numbers of each era */
#ifndef MAX_WRITES
#define MAX_WRITES 4 /* writes to the lease row */
#endif
#ifndef MAX_RESTORES
#define MAX_RESTORES 2
#endif
#ifndef MAX_FAULTS
#define MAX_FAULTS 1 /* failures other than delays and restores */
#endif
#define ERAS (MAX_RESTORES + 2)

#ifdef NO_MARKS
#define ERA_HAS_ENDED(era) false
#else
#define ERA_HAS_ENDED(era) ended[era]
#endif
#ifdef NO_MIN_LEASE
#define MIN_LEASE 1
#else
#define MIN_LEASE 2 /* an order in flight ends before the lease */
#endif

/* the store: the lease row, in which era it was written as its writer believed, and the
 * eras that are marked as ended; version 0 means that there is no row */
byte rowHolder, rowFencing, rowVersion, rowEra, rowSequence;
bool ended[ERAS];
byte era = 1;
/* a copy of the store */
byte copyHolder, copyFencing, copyVersion, copyEra, copySequence;
bool copyEnded[ERAS];
byte writesLeft = MAX_WRITES, restoresLeft = MAX_RESTORES, faultsLeft = MAX_FAULTS;

/* a write that its sender has given up on but that may still take effect */
byte delayedHolder, delayedFencing, delayedVersion, delayedEra, delayedSequence;

/* timers of daemons 1 and 2: what is left of the lease, the time since the row was first
 * seen as it is, and since the write in progress was sent */
byte leaseLeft[3], rowAge[3], writeAge[3];
/* the fencing number of the lease */
byte token[3];

/* the order in flight from each daemon, 0 for none, its sender and its age */
byte inFlight[3], inFlightSender[3], orderAge[3];
/* the order that the engine received last */
byte lastToken, lastSender;

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
			advance(rowAge[i], DURATION);
			advance(writeAge[i], DURATION);
			if
			:: inFlight[i] != 0 && orderAge[i] == 0 -> orderAge[i] = 1
			:: inFlight[i] != 0 && orderAge[i] == 1 -> inFlight[i] = 0; inFlightSender[i] = 0; orderAge[i] = 0
			:: else
			fi;
			i++
		:: else -> break
		od;
		i = 0 }
	od
}

inline apply(holder, fencing, wroteEra, number) {
	rowVersion++; rowHolder = holder; rowFencing = fencing; rowEra = wroteEra; rowSequence = number;
	k = 1;
	do
	:: k < wroteEra -> ended[k] = true; k++
	:: else -> break
	od;
	k = 0
}

active proctype store() {
	byte k;
end:	do
	:: atomic { restoresLeft > 0 -> /* a copy of this moment */
		copyHolder = rowHolder; copyFencing = rowFencing; copyVersion = rowVersion; copyEra = rowEra; copySequence = rowSequence;
		k = 1;
		do
		:: k < ERAS -> copyEnded[k] = ended[k]; k++
		:: else -> break
		od;
		k = 0 }
	:: atomic { restoresLeft > 0 ->
		restoresLeft--; era++;
		rowHolder = copyHolder; rowFencing = copyFencing; rowVersion = copyVersion; rowEra = copyEra; rowSequence = copySequence;
		k = 1;
		do
		:: k < ERAS -> ended[k] = copyEnded[k]; k++
		:: else -> break
		od;
		k = 0 }
	:: atomic { delayedHolder != 0 ->
		if
		:: rowVersion == delayedVersion && !ERA_HAS_ENDED(delayedEra) -> apply(delayedHolder, delayedFencing, delayedEra, delayedSequence)
		:: else
		fi;
		delayedHolder = 0; delayedFencing = 0; delayedVersion = 0; delayedEra = 0; delayedSequence = 0 }
	od
}

/* deliver is the arrival of an order at the engine. */
inline deliver(who) {
	/* one holder: nobody else has the lease when an order arrives */
	assert(leaseLeft[3 - who] == 0);
	/* fencing numbers never go back, and each belongs to one process */
	assert(inFlight[who] >= lastToken);
	assert(inFlight[who] != lastToken || inFlightSender[who] == lastSender);
	lastToken = inFlight[who]; lastSender = inFlightSender[who];
	inFlight[who] = 0; inFlightSender[who] = 0; orderAge[who] = 0
}

active proctype engine() {
end:	do
	:: atomic { inFlight[1] != 0 -> deliver(1) }
	:: atomic { inFlight[2] != 0 -> deliver(2) }
	od
}

/* see takes note of the row; mine says that it is the result of this process's write. */
inline see(mine) {
	if
	:: !known || seenVersion != rowVersion || seenEra != era -> rowAge[who] = 0
	:: else
	fi;
	known = true; seenHolder = rowHolder; seenFencing = rowFencing; seenVersion = rowVersion; seenRowEra = rowEra; seenEra = era;
	restored = (seenVersion == 0 && seenEra > 1) || (seenVersion != 0 && seenEra > seenRowEra);
	if
#ifdef GRANT_IN_COPY
	:: mine && seenHolder == identity && rowSequence == sequence ->
#else
	:: mine && seenHolder == identity && rowSequence == sequence && !restored ->
#endif
		leaseLeft[who] = DURATION - writeAge[who]; token[who] = seenFencing
	:: else ->
		if
		:: leaseLeft[who] > 0 && !restored && (seenHolder != identity || seenFencing != token[who]) -> leaseLeft[who] = 0
		:: else
		fi
	fi
}

/* commit writes the row with the fencing number wanted if it is as it was seen, in the era in
 * which it was seen. */
inline commit() {
	atomic { writesLeft > 0 -> writesLeft--; writeAge[who] = 0; sequence++ };
	if
	:: atomic { true -> /* answered */
		if
		:: rowVersion == seenVersion && !ERA_HAS_ENDED(seenEra) -> apply(identity, wanted, seenEra, sequence); see(true)
		:: else -> see(false)
		fi }
	:: atomic { faultsLeft > 0 -> faultsLeft--; /* the response is lost */
		if
		:: rowVersion == seenVersion && !ERA_HAS_ENDED(seenEra) -> apply(identity, wanted, seenEra, sequence)
		:: else
		fi };
		atomic { see(true) } /* the row is read back */
	:: atomic { faultsLeft > 0 && delayedHolder == 0 -> faultsLeft--; /* it takes effect later */
		delayedHolder = identity; delayedFencing = wanted; delayedVersion = seenVersion; delayedEra = seenEra;
		delayedSequence = sequence };
		atomic { see(true) }
	fi
}

#ifdef NO_ERA_FENCING
#define ERA_FLOOR 0
#else
#define ERA_FLOOR ((seenEra - 1) * PER_ERA)
#endif
#ifdef NO_RESTORED_WAIT
#define MAY_TAKE_OVER (seenHolder == 0 || rowAge[who] == DURATION)
#else
#define MAY_TAKE_OVER ((seenHolder == 0 && !restored) || rowAge[who] == DURATION)
#endif
#ifdef HOLDER_IN_COPY_GOES_ON
#define IS_HOLDER (seenHolder == identity)
#else
#define IS_HOLDER (seenHolder == identity && !restored)
#endif

/* nextFencing sets wanted above all fencing numbers that were ever used. */
inline nextFencing() {
	if
	:: seenFencing > ERA_FLOOR -> wanted = seenFencing + 1
	:: else -> wanted = ERA_FLOOR + 1
	fi
}

proctype daemon(byte who) {
	byte identity = who, seenHolder, seenFencing, seenVersion, seenRowEra, seenEra, wanted, sequence, k;
	bool known, restored;
end:	do
	:: atomic { see(false) }
	:: atomic { known && restored && leaseLeft[who] > 0 -> nextFencing() }; commit()
	:: atomic { known && IS_HOLDER && leaseLeft[who] > 0 -> wanted = seenFencing }; commit()
	:: atomic { known && IS_HOLDER && leaseLeft[who] == 0 -> nextFencing() }; commit()
	:: atomic { known && leaseLeft[who] == 0 && seenHolder != identity && MAY_TAKE_OVER -> nextFencing() }; commit()
	:: atomic { known && leaseLeft[who] == 0 && seenHolder == identity && restored && rowAge[who] == DURATION -> nextFencing() };
		commit()
	:: atomic { leaseLeft[who] >= MIN_LEASE && inFlight[who] == 0 ->
		inFlight[who] = token[who]; inFlightSender[who] = identity; orderAge[who] = 0 }
	:: atomic { faultsLeft > 0 && identity <= 2 -> /* killed and restarted */
		faultsLeft--; identity = identity + 2; known = false; restored = false; leaseLeft[who] = 0; token[who] = 0;
		seenHolder = 0; seenFencing = 0; seenVersion = 0; seenRowEra = 0; seenEra = 0; wanted = 0; sequence = 0 }
	od
}

init {
	atomic { run daemon(1); run daemon(2) }
}
