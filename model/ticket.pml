/* Ticket numbers by compare-and-swap on config/head, and the number that a
 * daemon holds. Two submitters, each with one write id, whose transaction writes
 * the head, the ticket and the write id together. Answers may be lost, a
 * transaction may take effect after its sender gave it up, the store may be
 * down, and a daemon may be restarted at its address.
 *
 * The transaction also requires that the row of the write id does not exist:
 * reading it after a lost answer is not enough, because the first transaction can
 * still take effect after that read, and a higher head then lets a second one
 * through.
 *
 * NO_WRITE_ID: the transaction does not require that. NO_PEER: a restarted daemon does not ask its peers.
 */

#ifndef FAULTS
#define FAULTS 3
#endif

#ifdef NO_WRITE_ID
#define FRESH true
#else
#define FRESH (accepted[who] == 0)
#endif

byte head;
bool up = true;
byte faults = FAULTS;
byte ticket[6];   /* submitter of each number */
byte accepted[3]; /* how often each submitter's ticket was accepted */

/* a transaction given up by each submitter, that may still take effect */
bool late[3];
byte lateHead[3];

/* what the two daemons hold, what each has acted on, and whether it serves */
byte cfg[3], acted[3];
bool serving[3] = true;

inline apply(who, expected) {
	if
	:: head == expected && FRESH -> head++; ticket[head] = who; accepted[who]++;
		/* each write id is accepted at most once, G9 */
		assert(accepted[who] <= 1)
	:: else
	fi
}

active proctype store() {
end:	do
	:: atomic { up && faults > 0 -> up = false; faults-- }
	:: atomic { !up -> up = true }
	:: atomic { up && late[1] -> late[1] = false; apply(1, lateHead[1]) }
	:: atomic { up && late[2] -> late[2] = false; apply(2, lateHead[2]) }
	od
}

proctype submitter(byte who) {
	byte seen;
	bool done, lost;
	do
	:: done -> break
	:: !done && !lost ->
		atomic { up -> seen = head }
		if
		:: atomic { up ->
			if
			:: head == seen && FRESH -> apply(who, seen);
				if
				:: faults > 0 -> faults--; lost = true
				:: done = true
				fi
			:: head == seen && !FRESH -> done = true
			:: else /* lost the race; reads the head again */
			fi }
		:: atomic { faults > 0 && !late[who] -> faults--; late[who] = true; lateHead[who] = seen; lost = true }
		fi
	:: lost ->
		/* the write id shows whether the ticket was accepted */
		atomic { up ->
			if
			:: accepted[who] > 0 -> done = true
			:: else
			fi;
			lost = false }
	od;
	assert(accepted[who] == 1)
}

proctype daemon(byte who) {
end:	do
	:: atomic { up && cfg[who] < head -> cfg[who] = head }
	:: atomic { cfg[who] < cfg[3 - who] -> cfg[who] = cfg[3 - who] }
	/* tells the peer, then acts */
	:: atomic { serving[who] && acted[who] < cfg[who] ->
		if
		:: cfg[3 - who] < cfg[who] -> cfg[3 - who] = cfg[who]
		:: else
		fi;
		acted[who] = cfg[who] }
	:: atomic { faults > 0 -> faults--; cfg[who] = 0; serving[who] = false }
	/* a new run serves by the highest of the table and the peer */
	:: atomic { !serving[who] && up -> cfg[who] = head; serving[who] = true }
#ifdef NO_PEER
	:: atomic { !serving[who] && !up -> serving[who] = true }
#else
	:: atomic { !serving[who] && !up && serving[3 - who] -> cfg[who] = cfg[3 - who]; serving[who] = true }
#endif
	/* G9: what serves is never older than what was acted on before */
	:: atomic { serving[who] -> assert(cfg[who] >= acted[who]) }
	od
}

init {
	atomic { run submitter(1); run submitter(2); run daemon(1); run daemon(2) }
}
