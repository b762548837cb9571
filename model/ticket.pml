/* Models how tickets get their numbers by compare-and-swap on the row config/head,
 * and which configuration revision a daemon serves. There are two submitters with
 * one write id each; a transaction writes the head, the ticket and the write id
 * together. Responses may be lost, a transaction may take effect after its sender
 * has given up on it, the store may be down, and a daemon may be restarted at the
 * same address.
 *
 * The transaction also requires that the row of the write id does not exist.
 * Reading that row after a lost response is not enough: the first transaction can
 * still take effect after the read, and the submitter's retry with the newer head
 * would then be accepted as well.
 *
 * NO_WRITE_ID_CONDITION: the transaction does not require that.
 * NO_PEER_AT_RESTART: a restarted daemon does not ask its peer for the revision.
 */

#ifndef MAX_FAULTS
#define MAX_FAULTS 3
#endif

#ifdef NO_WRITE_ID_CONDITION
#define WRITE_ID_UNUSED true
#else
#define WRITE_ID_UNUSED (accepted[who] == 0)
#endif

byte configHead;
bool storeUp = true;
byte faultsLeft = MAX_FAULTS;
byte submitterOf[6];   /* the submitter of each ticket number */
byte accepted[3]; /* how often each submitter's ticket was accepted */

/* a transaction that each submitter has given up on but that may still take effect,
 * and the head it expects */
bool delayed[3];
byte delayedHead[3];

/* the configuration revision that each daemon holds, the highest one it has acted on,
 * and whether it serves requests */
byte daemonRevision[3], actedRevision[3];
bool serving[3] = true;

inline applyTransaction(who, expected) {
	if
	:: configHead == expected && WRITE_ID_UNUSED -> configHead++; submitterOf[configHead] = who; accepted[who]++;
		/* G9: each write id is accepted at most once */
		assert(accepted[who] <= 1)
	:: else
	fi
}

active proctype store() {
end:	do
	:: atomic { storeUp && faultsLeft > 0 -> storeUp = false; faultsLeft-- }
	:: atomic { !storeUp -> storeUp = true }
	:: atomic { storeUp && delayed[1] -> delayed[1] = false; applyTransaction(1, delayedHead[1]) }
	:: atomic { storeUp && delayed[2] -> delayed[2] = false; applyTransaction(2, delayedHead[2]) }
	od
}

proctype submitter(byte who) {
	byte seenHead;
	bool done, responseLost;
	do
	:: done -> break
	:: !done && !responseLost ->
		atomic { storeUp -> seenHead = configHead }
		if
		:: atomic { storeUp ->
			if
			:: configHead == seenHead && WRITE_ID_UNUSED -> applyTransaction(who, seenHead);
				if
				:: faultsLeft > 0 -> faultsLeft--; responseLost = true
				:: done = true
				fi
			:: configHead == seenHead && !WRITE_ID_UNUSED -> done = true
			:: else /* another ticket was accepted first; read the head again */
			fi }
		:: atomic { faultsLeft > 0 && !delayed[who] -> faultsLeft--; delayed[who] = true; delayedHead[who] = seenHead; responseLost = true }
		fi
	:: responseLost ->
		/* the write id shows whether the ticket was accepted */
		atomic { storeUp ->
			if
			:: accepted[who] > 0 -> done = true
			:: else
			fi;
			responseLost = false }
	od;
	assert(accepted[who] == 1)
}

proctype daemon(byte who) {
end:	do
	:: atomic { storeUp && daemonRevision[who] < configHead -> daemonRevision[who] = configHead }
	:: atomic { daemonRevision[who] < daemonRevision[3 - who] -> daemonRevision[who] = daemonRevision[3 - who] }
	/* propagate the revision to the peer, then act on it */
	:: atomic { serving[who] && actedRevision[who] < daemonRevision[who] ->
		if
		:: daemonRevision[3 - who] < daemonRevision[who] -> daemonRevision[3 - who] = daemonRevision[who]
		:: else
		fi;
		actedRevision[who] = daemonRevision[who] }
	:: atomic { faultsLeft > 0 -> faultsLeft--; daemonRevision[who] = 0; serving[who] = false }
	/* a restarted daemon serves the revision of the store, or of the peer when the store
	 * is down */
	:: atomic { !serving[who] && storeUp -> daemonRevision[who] = configHead; serving[who] = true }
#ifdef NO_PEER_AT_RESTART
	:: atomic { !serving[who] && !storeUp -> serving[who] = true }
#else
	:: atomic { !serving[who] && !storeUp && serving[3 - who] -> daemonRevision[who] = daemonRevision[3 - who]; serving[who] = true }
#endif
	/* G9: a serving daemon never holds an older revision than it has acted on */
	:: atomic { serving[who] -> assert(daemonRevision[who] >= actedRevision[who]) }
	od
}

init {
	atomic { run submitter(1); run submitter(2); run daemon(1); run daemon(2) }
}
