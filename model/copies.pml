/*
 * Copies of one caller's submission: up to ATTEMPTS requests of the caller, each passed on
 * in any number of copies that the network holds and delivers at any time, up to TERMS
 * leaders one after the other, a queue that may leave the catalogue, and a cancellation.
 *
 * Time is an order of events: the deadline of an attempt passes at some moment, and a copy
 * is carried out only before it. What a process can know of that moment on the leader's
 * clock is the subject of mark.go. An attempt may wait unread at an entry VM that is paused.
 *
 * Invariants: a job is not stored if all attempts were refused, nor, unless it is cancelled
 * with it, after its cancellation was answered.
 *
 * Guards, each removed by defining:
 *   NO_JOIN     a copy is decided on although another one waits for its commit
 *   NO_MEMORY   a leader forgets what it refused
 *   NO_TERM     a copy is carried out by the leader of a later term
 *   NO_EXPIRY   a copy is carried out after the deadline of its attempt
 *   NO_RESENT   a copy is refused for its queue although an earlier one was accepted
 *   NO_WITHDRAW the cancellation of an unknown job is answered and leaves no trace
 *   NO_PAUSE    an attempt that waited unread gets a fresh deadline
 */
#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif
#ifndef TERMS
#define TERMS 2
#endif
#define at(a, t) ((a) * (TERMS + 1) + (t))

/* Attempts, by number. */
byte issued;          /* the latest */
bit unread[4];        /* waits at a paused entry VM */
bit read[4];          /* copies of it may be sent */
bit late[4];          /* its deadline has passed */
bit denied[4];        /* its caller heard that it never runs */
bit answered[4];      /* its caller heard anything */
bit sent[4];          /* a copy of it may have been carried out */
bit copy[16];         /* by attempt and term: a copy is under way */

/* Replicated. */
bit stored, cancelled, withdrawn, known = 1;

/* Memory of the leader. */
byte term = 1;
bit pending;          /* the job waits for its commit */
bit joined[4];        /* attempts that wait for it */
byte refused;         /* attempts up to this one were issued before a refusal */

bit cancelling;       /* the cancellation is answered */

inline answer(a, no) {
	if
	:: !answered[a] && !late[a] -> answered[a] = 1; denied[a] = no
	:: else
	fi
}
inline refuse(a) { refused = issued; answer(a, 1) }

/* ends the round with the submission: it is stored or not */
inline settle(yes) {
	pending = 0; stored = (stored || yes);
	for (a : 1 .. ATTEMPTS) {
		if
		:: joined[a] && yes -> answer(a, 0)
		:: joined[a] && !yes -> refuse(a)
		:: else
		fi;
		joined[a] = 0
	}
	a = 0
}

#ifdef NO_JOIN
#define waits false
#else
#define waits pending
#endif
#ifdef NO_MEMORY
#define remembered(a) false
#else
#define remembered(a) (refused >= (a))
#endif
#ifdef NO_TERM
#define by_term(t) true
#else
#define by_term(t) ((t) == term)
#endif
#ifdef NO_EXPIRY
#define in_time(a) true
#else
#define in_time(a) (!late[a])
#endif
#ifdef NO_RESENT
#define unclear(a) false
#else
#define unclear(a) (sent[a] && (stored || pending))
#endif
#ifdef NO_PAUSE
#define fresh(a) true
#else
#define fresh(a) (!late[a])
#endif

active proctype cell() {
	byte a, t;
	do
	/* the caller sends an attempt: the first one, or after a refusal or none to an earlier one */
	:: atomic {
		issued < ATTEMPTS && !cancelling && !(issued > 0 && answered[issued] && !denied[issued]) ->
		issued++; unread[issued] = 1
	}
	/* an entry VM reads it */
	:: atomic {
		select(a : 1 .. ATTEMPTS);
		if
		:: unread[a] && fresh(a) -> unread[a] = 0; read[a] = 1; late[a] = 0
		:: unread[a] && !fresh(a) -> unread[a] = 0
		:: else
		fi; a = 0
	}
	/* the deadline passes */
	:: atomic { select(a : 1 .. ATTEMPTS); if :: a <= issued -> late[a] = 1 :: else fi; a = 0 }
	/* an entry VM that still waits for an answer sends a copy, for a term that it has heard of */
	:: atomic {
		select(a : 1 .. ATTEMPTS); select(t : 1 .. TERMS);
		if
		:: read[a] && !answered[a] && !late[a] && t <= term -> copy[at(a, t)] = 1
		:: else
		fi; a = 0; t = 0
	}
	/* a copy is lost */
	:: atomic { select(a : 1 .. ATTEMPTS); select(t : 1 .. TERMS); copy[at(a, t)] = 0; a = 0; t = 0 }
	/* a copy arrives, and may arrive again */
	:: atomic {
		select(a : 1 .. ATTEMPTS); select(t : 1 .. TERMS);
		if
		:: copy[at(a, t)] && by_term(t) && in_time(a) ->
			if
			:: !known && unclear(a) -> answer(a, 0)
			:: !known && !unclear(a) -> refuse(a)
			:: known && stored -> answer(a, 0)
			:: known && !stored && withdrawn -> refuse(a)
			:: known && !stored && !withdrawn && waits -> joined[a] = 1; sent[a] = 1
			:: known && !stored && !withdrawn && !waits && remembered(a) -> answer(a, 1)
			:: known && !stored && !withdrawn && !waits && !remembered(a) ->
				if
				:: pending = 1; joined[a] = 1; sent[a] = 1
				:: refuse(a)
				fi
			fi
		:: else
		fi; a = 0; t = 0
	}
	/* the round commits */
	:: atomic { pending -> settle(1) }
	/* the next leader; the round commits before it serves, or never */
	:: atomic {
		term < TERMS -> term++;
		if
		:: pending -> stored = 1
		:: true
		fi;
		pending = 0; refused = 0;
		for (a : 1 .. ATTEMPTS) { joined[a] = 0 } a = 0
	}
	/* the catalogue changes */
	:: atomic { known = !known }
	/* the caller gives up and cancels; the answer follows the commit. A submission that
	 * waits is in an earlier round, or in the same one, which applies the cancellation first */
	:: atomic {
		issued > 0 && !cancelling ->
#ifdef NO_WITHDRAW
		cancelled = stored;
#else
		if
		:: pending -> settle(1)
		:: pending -> settle(0)
		:: else
		fi;
		if
		:: stored -> cancelled = 1
		:: else -> withdrawn = 1
		fi;
#endif
		cancelling = 1
	}
	/* the withdrawn ID is forgotten, when no copy is under way that is not too old */
	:: atomic {
		withdrawn && cancelling ->
		t = 1;
		for (a : 1 .. ATTEMPTS) { if :: a <= issued && !late[a] -> t = 0 :: else fi }
		if :: t == 1 -> withdrawn = 0 :: else fi;
		a = 0; t = 0
	}
	od
}



active proctype monitor() {
	atomic {
		stored && !cancelled && cancelling -> assert(false)
	}
}

active proctype refusals() {
	byte a;
	atomic {
		stored && issued > 0 && denied[1] && (issued < 2 || denied[2]) && (issued < 3 || denied[3]) -> assert(false)
	}
}
