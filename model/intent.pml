/*
 * A non-idempotent request with an idempotency key runs at most once, and an
 * answer "not run" is true.
 *
 * A caller sends the request through entry VM 0 or 1 and retries it when the
 * answer was lost, after its deadline, or on a refusal. Proposals may be delayed,
 * lost, or committed after their entry VM has given up on them. Entry VMs may
 * crash at any point and restart without memory.
 *
 * Invariants: the upstream runs the request at most once; an attempt reported to
 * the caller as "not run" has not run and will not; the caller is told the outcome
 * of a run only if there was one.
 *
 * Guards, each removed by defining:
 *   NO_INTENT     the request is sent without a committed intent
 *   NO_DUPLICATE  the log accepts an intent for a key that is already recorded
 *   LATE_INTENT   the request is sent without waiting for the intent to commit
 *   RETRY_SENT    a request that was sent and not answered is sent again
 *   REFUSE_SENT   an attempt that was sent may be reported as "not run"
 *   NO_HOLDER     an entry VM that gave up an attempt may settle an intent held by
 *                 another attempt as "not run"
 */
#define ENTRIES 2
#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif

mtype = { idle, slot, proposed, committed, sent, answered, refused };

typedef Entry {
	mtype phase = idle;
	byte attempt; /* number of its current attempt, from 1 */
};
Entry e[ENTRIES];

/* Replicated record of the key. */
bit recorded;
byte holder; /* attempt that holds the intent, 0 if none */
bit settled; /* the outcome is recorded */
bit settled_ran;

byte attempts;     /* number of attempts started */
byte pending;      /* set of attempts whose intent is proposed and not committed */
byte accepted;     /* set of attempts whose intent was accepted */
byte rejected;     /* set of attempts whose intent was rejected as a duplicate */
byte ran_by;       /* attempt that ran last */
byte runs;
byte told_not_run; /* set of attempts reported as "not run" */
byte sent_by;      /* set of attempts that are in transit to the upstream */

#define contains(set, a) ((set) & (1 << (a)))

inline begin(x) {  /* an attempt reaches entry VM x and gets a slot */
	if
	:: e[x].phase == idle && attempts < ATTEMPTS -> attempts++; e[x].attempt = attempts; e[x].phase = slot
	:: else
	fi
}

inline propose(x) {
	if
	:: e[x].phase == slot ->
#ifdef NO_INTENT
		e[x].phase = committed
#else
#ifdef LATE_INTENT
		e[x].phase = committed; pending = pending | (1 << e[x].attempt)
#else
		e[x].phase = proposed; pending = pending | (1 << e[x].attempt)
#endif
#endif
	:: else
	fi
}

#ifdef NO_DUPLICATE
#define accepts(a) true
#else
#define accepts(a) (!recorded)
#endif

inline commit(a) {  /* the intent of attempt a is committed and applied */
	if
	:: contains(pending, a) ->
		pending = pending & (255 - (1 << a));
		if
		:: accepts(a) -> recorded = 1; holder = a; settled = 0; accepted = accepted | (1 << a)
		:: else -> rejected = rejected | (1 << a)
		fi
	:: else
	fi
}

inline learn_result(x) {  /* entry VM x gets the result of its proposal */
	if
	:: e[x].phase == proposed && contains(accepted, e[x].attempt) -> e[x].phase = committed
	:: e[x].phase == proposed && contains(rejected, e[x].attempt) -> e[x].phase = idle /* the caller is told "in progress" or the outcome */
	:: else
	fi
}

inline give_up(x) {  /* no result of the proposal: nothing was sent, nor will be */
	if
	:: e[x].phase == proposed -> told_not_run = told_not_run | (1 << e[x].attempt); e[x].phase = refused
	:: else
	fi
}

/* The intent of an attempt that was given up is settled as "not run", so that the
 * caller's next attempt is not rejected as a duplicate. */
inline settle_given_up(x) {
	if
#ifdef NO_HOLDER
	:: recorded && !settled && e[x].phase == refused -> recorded = 0; e[x].phase = idle
#else
	:: recorded && !settled && e[x].phase == refused && holder == e[x].attempt -> recorded = 0; e[x].phase = idle
#endif
	:: else
	fi
}

inline dispatch(x) {
	if
	:: e[x].phase == committed -> e[x].phase = sent; sent_by = sent_by | (1 << e[x].attempt)
	:: else
	fi
}

inline execute(a) {  /* the upstream runs a request, once each time it was sent */
	if
	:: contains(sent_by, a) -> sent_by = sent_by & (255 - (1 << a)); runs++; ran_by = a
	:: else
	fi
}

inline lose_answer(x) {  /* the upstream's answer does not arrive */
	if
	:: e[x].phase == sent ->
#ifdef RETRY_SENT
		e[x].phase = committed
#else
#ifdef REFUSE_SENT
		told_not_run = told_not_run | (1 << e[x].attempt); e[x].phase = idle
#else
		e[x].phase = idle /* the caller is told "unknown"; the record stays without an outcome */
#endif
#endif
	:: else
	fi
}

inline settle(x) {  /* the upstream's answer arrives and its outcome is recorded */
	if
	:: e[x].phase == sent && runs > 0 && ran_by == e[x].attempt ->
		if :: recorded && holder == e[x].attempt -> settled = 1; settled_ran = 1 :: else fi;
		e[x].phase = idle
	:: else
	fi
}

inline crash(x) { e[x].phase = idle; e[x].attempt = 0 }

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
		:: a == 1 -> d_step { learn_result(x); skip }
		:: a == 1 -> d_step { give_up(x); skip }
		:: a == 1 -> d_step { settle_given_up(x); skip }
		:: a == 1 -> d_step { dispatch(x); skip }
		:: x == 0 -> d_step { execute(a); skip }
		:: x == 0 -> d_step { sent_by = sent_by & (255 - (1 << a)); skip }
		:: a == 1 -> d_step { lose_answer(x); skip }
		:: a == 1 -> d_step { settle(x); skip }
		:: a == 1 -> d_step { crash(x); skip }
		:: else
		fi;
		x = 0; a = 0;
		assert(runs <= 1);
		assert(!(runs > 0 && contains(told_not_run, ran_by)));
		assert(!(settled && settled_ran && runs == 0))
	}
	od
}
