/*
 * A non-idempotent request under an idempotency key runs at most once, and a
 * refusal as "not run" is true.
 *
 * A caller sends the request through entry VM 0 or 1 and sends it again when
 * the answer was lost, after its deadline, or on a refusal. Proposals are
 * delayed, lost, or committed after their entry VM has given them up. Entry
 * VMs die at any point and return without memory.
 *
 * Checked: the upstream runs the request at most once; no attempt that the
 * caller was told was "not run" has run it or will; the caller is told an
 * outcome of a run only if there was one.
 *
 * Guards, each removed by defining:
 *   NO_INTENT     the request is sent without a committed intent
 *   NO_DUPLICATE  the log accepts an intent for a key that it knows
 *   LATE_INTENT   the intent is proposed when the request has been sent
 *   RETRY_SENT    a request that was sent and got no answer is sent again
 *   REFUSE_SENT   an attempt that was sent may be reported as "not run"
 *   NO_HOLDER     an intent that was given up can be settled as "not run" by
 *                 another entry VM than the one that holds it
 */
#define ENTRIES 2
#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif

mtype = { idle, slot, proposed, committed, sent, answered, refused };

typedef Entry {
	mtype at = idle;
	byte attempt;       /* number of the attempt that it works on, from 1 */
};
Entry e[ENTRIES];

/* Replicated record of the key. */
bit known;
byte holder;            /* attempt that holds the intent, 0 if none */
bit settled;            /* the outcome is recorded */
bit settled_ran;

byte attempts;          /* started so far */
byte pending;           /* set of attempts whose intent is under way to the log */
byte accepted;          /* set of attempts whose intent was accepted */
byte rejected;          /* set of attempts whose intent was a duplicate */
byte ran_by;            /* attempt that ran it */
byte runs;
byte told_no;           /* set of attempts reported as "not run" */
byte sent_by;           /* set of attempts that were sent to the upstream */

#define in(set, a) ((set) & (1 << (a)))

inline begin(x) {       /* the caller's attempt reaches entry VM x, which takes a slot */
	if
	:: e[x].at == idle && attempts < ATTEMPTS -> attempts++; e[x].attempt = attempts; e[x].at = slot
	:: else
	fi
}

inline propose(x) {
	if
	:: e[x].at == slot ->
#ifdef NO_INTENT
		e[x].at = committed
#else
#ifdef LATE_INTENT
		e[x].at = committed; pending = pending | (1 << e[x].attempt)
#else
		e[x].at = proposed; pending = pending | (1 << e[x].attempt)
#endif
#endif
	:: else
	fi
}

#ifdef NO_DUPLICATE
#define accepts(a) true
#else
#define accepts(a) (!known)
#endif

inline commit(a) {      /* the log takes the intent of attempt a */
	if
	:: in(pending, a) ->
		pending = pending & (255 - (1 << a));
		if
		:: accepts(a) -> known = 1; holder = a; settled = 0; accepted = accepted | (1 << a)
		:: else -> rejected = rejected | (1 << a)
		fi
	:: else
	fi
}

inline hear(x) {        /* entry VM x hears of its proposal */
	if
	:: e[x].at == proposed && in(accepted, e[x].attempt) -> e[x].at = committed
	:: e[x].at == proposed && in(rejected, e[x].attempt) -> e[x].at = idle /* told in progress or the outcome */
	:: else
	fi
}

inline give_up(x) {     /* no word of the proposal: nothing was sent, nor will be */
	if
	:: e[x].at == proposed -> told_no = told_no | (1 << e[x].attempt); e[x].at = refused
	:: else
	fi
}

/* The intent of an attempt that was given up is settled as not run, so that the
 * caller's next attempt is not taken for a duplicate. */
inline settle_given_up(x) {
	if
#ifdef NO_HOLDER
	:: known && !settled && e[x].at == refused -> known = 0; e[x].at = idle
#else
	:: known && !settled && e[x].at == refused && holder == e[x].attempt -> known = 0; e[x].at = idle
#endif
	:: else
	fi
}

inline dispatch(x) {
	if
	:: e[x].at == committed -> e[x].at = sent; sent_by = sent_by | (1 << e[x].attempt)
	:: else
	fi
}

inline execute(a) {         /* the upstream takes a request that was sent, once per sending */
	if
	:: in(sent_by, a) -> sent_by = sent_by & (255 - (1 << a)); runs++; ran_by = a
	:: else
	fi
}

inline lose(x) {        /* no answer from the upstream */
	if
	:: e[x].at == sent ->
#ifdef RETRY_SENT
		e[x].at = committed
#else
#ifdef REFUSE_SENT
		told_no = told_no | (1 << e[x].attempt); e[x].at = idle
#else
		e[x].at = idle /* told unknown; the record stays without an outcome */
#endif
#endif
	:: else
	fi
}

inline settle(x) {      /* the answer came; its outcome is recorded */
	if
	:: e[x].at == sent && runs > 0 && ran_by == e[x].attempt ->
		if :: known && holder == e[x].attempt -> settled = 1; settled_ran = 1 :: else fi;
		e[x].at = idle
	:: else
	fi
}

inline die(x) { e[x].at = idle; e[x].attempt = 0 }

init {
	byte x, a;
	do
	:: atomic {
		if :: x = 0 :: x = 1 fi;
		a = 1; do :: a < ATTEMPTS -> a++ :: break od;
		if
		:: a == 1 -> d_step { begin(x); skip }
		:: a == 1 -> d_step { propose(x); skip }
		:: x == 0 -> d_step { commit(a); skip }
		:: x == 0 -> d_step { pending = pending & (255 - (1 << a)); skip }
		:: a == 1 -> d_step { hear(x); skip }
		:: a == 1 -> d_step { give_up(x); skip }
		:: a == 1 -> d_step { settle_given_up(x); skip }
		:: a == 1 -> d_step { dispatch(x); skip }
		:: x == 0 -> d_step { execute(a); skip }
		:: x == 0 -> d_step { sent_by = sent_by & (255 - (1 << a)); skip }
		:: a == 1 -> d_step { lose(x); skip }
		:: a == 1 -> d_step { settle(x); skip }
		:: a == 1 -> d_step { die(x); skip }
		:: else
		fi;
		x = 0; a = 0;
		assert(runs <= 1);
		assert(!(runs > 0 && in(told_no, ran_by)));
		assert(!(settled && settled_ran && runs == 0))
	}
	od
}
