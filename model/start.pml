/*
 * Copies of a start, and incarnations of the worker that they are sent to.
 *
 * A leader starts a task on the worker with ID a, whose incarnations follow each
 * other at one address, and starts it on b once it has given the run up. Copies
 * of the start, and listings with a lease, are carried out at once or up to LATE
 * later, by the incarnation that runs then, with an answer or without. An
 * incarnation that is not heard carries out what arrives. The clock of a later
 * incarnation starts anew, so that a lease for an earlier one is as long there as
 * the longest one. The leader may change: the next one knows the run and whether
 * copies of its start have no answer.
 *
 * Times are stored as remaining time. A start on b runs at once and for ever.
 *
 * Invariant: the task never runs on a and on b at once.
 *
 * Guards, each removed by defining:
 *   NO_LATE      the leader does not wait for late copies
 *   NO_LONGEST   it waits for the lease that it granted, not for the longest one
 *   NO_SILENCE   a listing carries a lease though the worker does not answer
 *   NO_DOUBTS    the next leader does not know that copies have no answer
 *   NO_PROOF     an answer of another incarnation counts as one of the known one
 *   NO_HOLD      a run is lost when the record of its incarnation ends
 *   NO_FORMER    the lease of an incarnation is not extended by orders to the former one
 *
 * Assumptions, which the code does not ensure, each removed by defining:
 *   SETTLED      no copy of a run that one incarnation has settled is carried out by a later one
 *   FORGETFUL    the next leader knows that orders to a former incarnation may be on their way
 */
#define LATE 2
#define LONGEST 2
#define GRANT 1
#ifndef COPIES
#define COPIES 2
#endif
#ifndef LIVES
#define LIVES 3
#endif
#ifndef RUNS
#define RUNS 2    /* starts on a */
#endif

/* What runs on a, and on b. */
byte life;        /* incarnation of a */
bit heard;        /* what it sends arrives */
bit running;
byte lease;       /* time left */
byte stopped;     /* highest run that it refuses */
bit b;

/* Orders on their way. */
byte copy[COPIES];       /* time in which it may be carried out, plus one; zero if there is none */
byte copy_life[COPIES];  /* incarnation that it was sent to */
byte copy_lease[COPIES]; /* time left of its lease there */
byte copy_run[COPIES];
byte list;
byte list_life;
byte list_lease;

/* Replicated. */
byte number = 1;  /* of the run */
byte place;       /* 0: not started, 1: start sent or committed, 2: answered, 3: given up */
byte known;       /* incarnation of a that the leader knows */
bit unclear;      /* a copy has no answer */

/* Of the leader. */
byte granted;     /* time left of the leases that it, or its predecessor, granted to the known incarnation */
byte sent;        /* time left of the latest lease that it sent */
byte doubt;       /* time in which another incarnation may execute the run */
byte former;      /* time in which orders to a former incarnation may extend a lease */
bit silent;       /* the latest order got no answer */
byte changes;     /* of the leader */

byte i;

#define decrement(v) if :: v > 0 -> v-- :: else fi
#define atleast(v, x) if :: v < (x) -> v = (x) :: else fi

#ifdef NO_LATE
#define wait_late 0
#else
#define wait_late LATE
#endif
#ifdef NO_LONGEST
#define wait_lease GRANT
#else
#define wait_lease LONGEST
#endif

/* A lease that was sent to an incarnation arrives at the present one. */
inline extend(to, left) {
	if
	:: to == life -> atleast(lease, left)
	:: to != life -> lease = LONGEST
	fi
}

inline settle() {
	place = 3; unclear = 0; doubt = 0; granted = 0; sent = 0;
#ifndef SETTLED
	i = 0;
	do
	:: i < COPIES -> if :: copy_run[i] == number -> copy[i] = 0; copy_run[i] = 0; copy_life[i] = 0; copy_lease[i] = 0 :: else fi; i++
	:: i == COPIES -> break
	od;
	i = 0
#endif
}

inline send(x) {
	copy[x] = LATE + 1; copy_life[x] = known; copy_lease[x] = GRANT; copy_run[x] = number;
	place = 1; unclear = 1;
	sent = GRANT; atleast(granted, GRANT); doubt = wait_late + wait_lease
}

inline clear(x) { copy[x] = 0; copy_life[x] = 0; copy_lease[x] = 0; copy_run[x] = 0 }

inline carry_out(x) {
	if
	:: copy_run[x] > stopped && (copy_life[x] != life || copy_lease[x] > 0) ->
		running = 1; extend(copy_life[x], copy_lease[x])
	:: else -> if :: running -> extend(copy_life[x], copy_lease[x]) :: else fi
	fi
}

/* The leader learns that a start was answered. Its copy is settled if no other has no answer. */
inline answered(x) {
	if
#ifdef NO_PROOF
	:: copy_run[x] == number && place == 1 ->
#else
	:: copy_run[x] == number && place == 1 && life == known ->
#endif
		place = 2; silent = 0;
		if :: COPIES == 1 || copy[1 - x] == 0 || copy_run[1 - x] != number -> unclear = 0; doubt = 0 :: else fi
	:: else
	fi
}

/* A listing that is answered by the known incarnation. */
inline listed() {
	silent = 0; sent = GRANT; atleast(granted, GRANT);
	if
	:: running -> atleast(lease, GRANT)
	:: !running && place == 2 -> settle()
	:: else
	fi
}

/* A listing that gets no answer is carried out at once, or late, or never. */
#ifdef NO_SILENCE
#define may_extend true
#else
#define may_extend (!silent || !unclear)
#endif
inline unanswered(at_once) {
	if
	:: may_extend ->
		if :: !silent -> sent = GRANT; atleast(granted, GRANT) :: else fi;
#ifndef NO_SILENCE
		if :: unclear -> doubt = wait_late + wait_lease :: else fi;
#endif
		if
		:: at_once -> if :: running -> extend(known, sent) :: else fi
		:: !at_once && list == 0 -> list = LATE + 1; list_life = known; list_lease = sent
		:: else
		fi
	:: else
	fi;
	silent = 1
}

/* The record of the known incarnation ends: the present one has reported itself. */
inline replace() {
	if
#ifdef NO_HOLD
	:: place == 1 || place == 2 -> settle()
#else
	:: (place == 1 || place == 2) && !unclear -> settle()
#endif
	:: else
	fi;
	known = life; granted = 0; sent = 0; silent = 0;
#ifndef NO_FORMER
	former = LATE + LONGEST
#endif
}

inline change() {
	changes++; silent = 1; granted = LONGEST; sent = 0;
#ifdef FORGETFUL
	former = 0;
#endif
#ifdef NO_DOUBTS
	unclear = 0;
#endif
	if :: unclear -> doubt = wait_late + wait_lease :: else -> doubt = 0 fi
}

inline tick() {
	i = 0;
	do
	:: i < COPIES -> decrement(copy_lease[i]); decrement(copy[i]); if :: copy[i] == 0 -> copy_life[i] = 0; copy_lease[i] = 0; copy_run[i] = 0 :: else fi; i++
	:: i == COPIES -> break
	od;
	i = 0;
	decrement(list_lease); decrement(list);
	if :: list == 0 -> list_life = 0; list_lease = 0 :: else fi;
	decrement(lease);
	if :: lease == 0 -> running = 0 :: else fi;
	decrement(granted); decrement(sent); decrement(doubt); decrement(former)
}

init {
	byte x;
	heard = 1;
	do
	:: atomic {
		if :: x = 0 :: COPIES > 1 -> x = COPIES - 1 fi;
		if
		/* The leader uses an incarnation that it has heard. A start is sent again while it has no answer. */
		:: place == 0 && known == life && heard && copy[x] == 0 -> d_step { send(x); skip }
		:: place == 1 && copy[x] == 0 && copy[1 - x] > 0 -> d_step { send(x); skip }
		:: copy[x] > 0 -> d_step { carry_out(x); clear(x); skip }
		:: copy[x] > 0 && heard -> d_step { carry_out(x); answered(x); clear(x); skip }
		:: x == 0 && heard && known == life && (place == 1 || place == 2) -> d_step { listed(); skip }
		:: x == 0 && (place == 1 || place == 2) -> d_step { unanswered(true); skip }
		:: x == 0 && (place == 1 || place == 2) -> d_step { unanswered(false); skip }
		:: x == 0 && list > 0 -> d_step { if :: running -> extend(list_life, list_lease) :: else fi; list = 0; list_life = 0; list_lease = 0 }
		/* A stop that is answered. */
		:: x == 0 && heard && known == life && (place == 1 || place == 2) -> d_step { stopped = number; running = 0; lease = 0; settle(); skip }
		:: x == 0 && life + 1 < LIVES -> d_step { life++; running = 0; lease = 0; stopped = 0; heard = 0 }
		:: x == 0 && !heard -> heard = 1
		:: x == 0 && heard -> heard = 0
		:: x == 0 && heard && known != life -> d_step { replace(); skip }
		/* Nothing is heard. */
		:: x == 0 && (place == 1 || place == 2) && silent && granted == 0 && doubt == 0 && former == 0 ->
			place = 3; unclear = 0
		/* The run is given up: the task starts on b, or again on a. */
		:: x == 0 && place == 3 && !b -> b = 1
		:: x == 0 && place == 3 && !b && number < RUNS && heard && known == life && !running -> d_step { number++; place = 0 }
		:: x == 0 && changes == 0 && place > 0 && place < 3 -> d_step { change(); skip }
		:: x == 0 -> d_step { tick(); skip }
		:: else
		fi;
		x = 0;
		assert(!(running && b))
	}
	od
}
