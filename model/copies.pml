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
 *   NO_RECORD   a refusal that is repeated counts only for copies from before the first one
 *   NO_WAITING  a copy whose round did not store the job is refused while another one waits
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
bit queued[4];        /* attempts with a copy that waits for the next round */
bit flight[4];        /* attempts with a copy in the round that is not committed yet */
byte waiting;         /* number of attempts in either */
bit cancelling, cancelflight; /* the cancellation, likewise */
byte refused;         /* attempts up to this one were issued before a refusal */

bit over;             /* the cancellation is answered */

inline answer(a, no) {
	if
	:: !answered[a] && !late[a] -> answered[a] = 1; denied[a] = no
	:: else
	fi
}
inline enqueue(a) {
	sent[a] = 1;
	if
	:: !queued[a] -> queued[a] = 1; waiting++
	:: else
	fi
}
inline refuse(a) { refused = issued; answer(a, 1) }

/* applies the round: cancellations come first */
inline apply() {
	if
	:: cancelflight && stored -> cancelled = 1
	:: cancelflight && !stored -> withdrawn = 1
	:: else
	fi;
	for (a : 1 .. ATTEMPTS) { stored = (stored || (flight[a] && known && !withdrawn)) }
	a = 0
}

#ifdef NO_JOIN
#define waits false
#else
#define waits (waiting > 0)
#endif
#ifdef NO_MEMORY
#define remembered(a) false
#else
#define remembered(a) (refused >= (a))
#endif
#ifdef NO_RECORD
#define again(a) answer(a, 1)
#else
#define again(a) refuse(a)
#endif
#ifdef NO_WAITING
#define others false
#else
#define others waits
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
#define unclear(a) (sent[a] && (stored || waits))
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
		issued < ATTEMPTS && !over && !cancelling && !cancelflight && !(issued > 0 && answered[issued] && !denied[issued]) ->
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
			:: known && !stored && !withdrawn && waits -> enqueue(a)
			:: known && !stored && !withdrawn && !waits && remembered(a) -> again(a)
			/* its stamp is too early by what its process does not know of the clock */
			:: known && !stored && !withdrawn && !waits && remembered(a - 1) -> again(a)
			:: known && !stored && !withdrawn && !waits && !remembered(a) ->
				if
				:: enqueue(a)
				:: refuse(a)
				fi
			fi
		:: else
		fi; a = 0; t = 0
	}
	/* the next round leaves */
	:: atomic {
		!cancelflight && !flight[1] && !flight[2] && !flight[3] && (waiting > 0 || cancelling) ->
		cancelflight = cancelling; cancelling = 0;
		for (a : 1 .. ATTEMPTS) { flight[a] = queued[a]; queued[a] = 0 } a = 0
	}
	/* it commits */
	:: atomic {
		cancelflight || flight[1] || flight[2] || flight[3] ->
		apply(); over = (over || cancelflight); cancelflight = 0;
		for (a : 1 .. ATTEMPTS) { waiting = waiting - flight[a] }
		for (a : 1 .. ATTEMPTS) {
			if
			:: flight[a] && (stored || others) -> answer(a, 0)
			:: flight[a] && !stored && !others -> refuse(a)
			:: else
			fi
		}
		for (a : 1 .. ATTEMPTS) { flight[a] = 0 } a = 0
	}
	/* the next leader; the round commits before it serves, or never */
	:: atomic {
		term < TERMS -> term++;
		if
		:: apply()
		:: true
		fi;
		waiting = 0; refused = 0; cancelling = 0; cancelflight = 0;
		for (a : 1 .. ATTEMPTS) { flight[a] = 0; queued[a] = 0 } a = 0
	}
	/* the catalogue changes */
	:: atomic { known = !known }
	/* the caller gives up and cancels, perhaps again */
	:: atomic {
		issued > 0 && !over && !cancelling && !cancelflight ->
#ifdef NO_WITHDRAW
		cancelled = stored; over = 1
#else
		cancelling = 1
#endif
	}
	/* the withdrawn ID is forgotten, when each copy under way is too old; it is kept far longer
	 * than a copy waits for a round */
	:: atomic {
		withdrawn && over && waiting == 0 ->
		t = 1;
		for (a : 1 .. ATTEMPTS) { if :: a <= issued && !late[a] -> t = 0 :: else fi }
		if :: t == 1 -> withdrawn = 0 :: else fi;
		a = 0; t = 0
	}
	od
}



active proctype monitor() {
	atomic {
		stored && !cancelled && over -> assert(false)
	}
}

active proctype refusals() {
	byte a;
	atomic {
		stored && issued > 0 && denied[1] && (issued < 2 || denied[2]) && (issued < 3 || denied[3]) -> assert(false)
	}
}
