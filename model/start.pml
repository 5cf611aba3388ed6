/*
 * Copies of a start, and incarnations of the worker that they are sent to.
 *
 * A leader starts a task on the worker with ID a, whose incarnations follow each
 * other at one address, and starts it on b, which has room, once it has given the
 * run up. Copies of the start, and listings with a lease, are carried out at once
 * or up to LATE later, by the incarnation that runs then, with an answer or without.
 * An incarnation that is not heard carries out what arrives. The clock of a later
 * incarnation starts anew, so that a lease for an earlier one is as long there as
 * the longest one. Its answers to starts name no incarnation.
 *
 * A start with copies without an answer has a deadline, LATE + LONGEST after the
 * latest copy. Until then its task starts on an incarnation that refuses the copies
 * only, and from then on its run counts as over. A lease that is sent meanwhile to
 * an incarnation that has just proved itself moves the deadline; a worker that did
 * not answer its latest order, or refused it, gets none. A listing by the known
 * incarnation that was sent after the last copy has arrived ends the doubt. Once all
 * copies are answered none is on its way, and an incarnation that is not known may execute
 * the run until the longest lease ends. The next leader takes the deadline from the time
 * of the commit, which is replicated.
 *
 * The worker may answer, refuse or lose any order, begin anew or fall silent at any
 * time, for good as well. Leaders change any number of times while copies have no
 * answer, and CHANGES times after that: each waits for the longest lease anew.
 *
 * Times are stored as remaining time. A lease that is granted to an incarnation ends
 * with the next step of the time, unless a later one extends it, so that no run on a
 * goes on for ever: what a healthy worker does is not the subject. A run on b starts
 * at once and goes on; that it is done is only looked at by the check of progress.
 *
 * Invariant: the task never runs on a and on b at once.
 * Progress: the task is done at some time, under weak fairness of the processes: time
 * passes, and the leader sends listings, gives up what is overdue and starts what may
 * start. Nothing is assumed of the worker.
 *
 * Guards of the invariant, each removed by defining:
 *   NO_LATE      the leader does not wait for late copies
 *   NO_LONGEST   it waits for the lease that it granted, not for the longest one
 *   NO_SILENCE   a listing carries a lease though the worker does not answer
 *   NO_DOUBTS    the next leader does not know that copies have no answer
 *   NO_PROOF     an answer to a start counts as one of the known incarnation
 *   NO_LOST      it is forgotten that a lease without an answer may arrive after the answer to a start
 *   NO_HOLD      a run is lost when the record of its incarnation ends
 *   NO_FORMER    the lease of an incarnation is not extended by orders to the former one
 *   NO_BIND      a run that one incarnation has ended has no copies for later ones
 *   NO_ORPHAN    a listing that shows the run ends the doubt about its copies
 *   NO_MOVE      a lease that is sent while copies have no answer does not move the deadline
 *   NO_RETRY     the next leader does not allow for copies that were sent after the commit
 *   NO_LEASES    it does not allow for leases that were sent after the copies
 *
 * Guards of progress:
 *   RENEW        an order that is refused, or has no answer, moves the deadline
 *   RENEW_LEASE  a listing that is refused carries a lease
 *   RENEW_TERM   each leader counts anew
 *   ABSENT       a run that was not answered, and is not listed after the last copy has arrived, goes on
 *   PROOF_ONLY   the deadline passes with an answer of the known incarnation only
 *
 * Assumption, which the code does not ensure, removed by defining:
 *   FORGETFUL    the next leader knows that orders to a former incarnation may be on their way
 */
#define LATE 2
#define LONGEST 2
#define GRANT 1
#define RETRY 1   /* copies are sent for this long */
#ifndef COPIES
#define COPIES 2
#endif
#ifndef LIVES
#define LIVES 3
#endif
#ifndef RUNS
#define RUNS 2    /* starts on a */
#endif
#ifndef CHANGES
#define CHANGES 1
#endif

/* What runs on a, and on b. */
byte life;        /* incarnation of a */
bit heard = 1;    /* what it sends arrives */
byte running;     /* run; zero if there is none */
byte lease;       /* time left */
byte stopped;     /* highest run that it refuses */
bit b;
bit done;         /* the leader knows */

/* Orders on their way. */
byte copy[COPIES];       /* time in which it may be carried out, plus one; zero if there is none */
byte copy_life[COPIES];  /* incarnation that it was sent to */
byte copy_lease[COPIES]; /* time left of its lease there */
byte copy_run[COPIES];
byte list;
byte list_life;
byte list_lease;
bit list_stale;          /* of an earlier leader, and refused after an order of the present one */

/* Replicated. */
byte number = 1;  /* of the run */
byte place;       /* 1: start sent or committed, 2: answered, 3: over */
byte known;       /* incarnation of a that the leader knows */
byte limit;       /* time until the deadline for the next leaders */

/* Of the leader. */
byte fresh;       /* time in which copies may be sent, plus one */
byte arrives;     /* time in which the latest copy may arrive, plus one */
byte doubt;       /* time until the deadline */
byte granted;     /* time left of the leases that it, or its predecessor, granted to the known incarnation */
byte former;      /* time in which orders to a former incarnation may extend a lease */
bit earlier;      /* copies of an earlier run have no answer */
bit silent;       /* the latest order got no answer, or was refused */
byte lost;        /* time in which a lease without an answer may arrive, plus one */
byte changes;     /* of the leader, without such copies */

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
/* Of the next leaders, for copies and then leases that were sent after the commit. */
#ifdef NO_RETRY
#define for_copies 0
#else
#define for_copies RETRY
#endif
#ifdef NO_LEASES
#define for_leases 0
#else
#define for_leases LATE
#endif

#ifdef NO_LOST
#define wait_lost 0
#else
#define wait_lost lost
#endif

#define unclear (doubt > 0)

/* A lease that was sent to an incarnation arrives at the present one. */
inline extend(to, left) {
	if
	:: to == life -> atleast(lease, left)
	:: to != life -> lease = LONGEST
	fi
}

inline stop() { atleast(stopped, running); running = 0; lease = 0 }

inline clear(x) { copy[x] = 0; copy_life[x] = 0; copy_lease[x] = 0; copy_run[x] = 0 }

inline drop_list() { list = 0; list_life = 0; list_lease = 0; list_stale = 0 }

inline settled() { doubt = 0; arrives = 0; earlier = 0 }

/* The run is over. Copies of its start may be on their way. */
inline over() {
	place = 3; granted = 0; fresh = 0;
#ifdef NO_BIND
	settled(); limit = 0
#endif
}

inline send(x) {
	copy[x] = LATE + 1; copy_life[x] = known; copy_lease[x] = GRANT; copy_run[x] = number;
	place = 1; granted = GRANT; arrives = wait_late + 1; doubt = wait_late + wait_lease
}

inline commit() { limit = for_copies + for_leases + wait_late + wait_lease; fresh = RETRY + 1 }

inline carry_out(x) {
	if
	:: running -> extend(copy_life[x], copy_lease[x])
	:: !running && copy_run[x] > stopped && (copy_life[x] != life || copy_lease[x] > 0) ->
		running = copy_run[x]; extend(copy_life[x], copy_lease[x])
	:: else
	fi
}

/* The leader learns that a start was answered, by any incarnation. */
inline answered(x) {
	if
	:: copy_run[x] == number && place == 1 ->
		place = 2; fresh = 0; silent = 0;
		if :: list_stale -> drop_list() :: else fi;
		if
		:: !earlier && (COPIES == 1 || copy[1 - x] == 0) ->
#ifdef NO_PROOF
			settled()
#else
			arrives = 0; doubt = wait_lost + wait_lease
#endif
		:: else
		fi
	:: else
	fi
}

#ifdef ABSENT
#define absent_is_over false
#else
#define absent_is_over (place == 1 && arrives == 0)
#endif

/* A listing that the known incarnation answers. */
inline listed() {
	silent = 0;
	if
	:: place < 3 && running == number -> granted = GRANT; atleast(lease, GRANT)
	:: running != number && (place == 2 || absent_is_over) -> over()
	:: else
	fi;
	if
#ifdef NO_ORPHAN
	:: arrives == 0 -> settled()
#else
	:: arrives == 0 && (!running || running == number && place < 3) -> settled()
#endif
	:: else
	fi
}

/* An order that is refused, or has no answer. */
inline failed() {
#ifdef RENEW
	if :: unclear -> doubt = wait_late + wait_lease :: else fi;
#endif
	silent = 1
}

/* A listing that the known incarnation refuses. */
inline refused() {
#ifdef RENEW_LEASE
	granted = GRANT;
#endif
	failed()
}

/* A listing that gets no answer is carried out at once, or late, or never. */
#ifdef NO_SILENCE
#define may_extend true
#else
#define may_extend !silent
#endif
inline unanswered(at_once) {
	if
	:: may_extend && place < 3 ->
		if :: !silent -> granted = GRANT; lost = LATE + 1 :: else fi;
#ifndef NO_MOVE
		if :: !silent && unclear -> doubt = wait_late + wait_lease :: else fi;
#endif
		if
		:: at_once -> if :: running -> extend(known, GRANT) :: else fi
		:: !at_once && list == 0 -> list = LATE + 1; list_life = known; list_lease = GRANT
		:: else
		fi
	:: else
	fi;
	failed()
}

/* The record of the known incarnation ends: the present one has reported itself. */
inline replace() {
	if
#ifdef NO_HOLD
	:: place < 3 -> over(); settled(); limit = 0
#else
	:: place < 3 && !unclear -> over()
#endif
	:: else
	fi;
	known = life; granted = 0; silent = 0;
#ifndef NO_FORMER
	former = LATE + LONGEST
#endif
}

/* A listing that another incarnation answers, which it names. */
inline foreign() {
	if
	:: may_extend && place < 3 ->
		if :: running -> extend(known, GRANT) :: else fi;
		if :: unclear -> atleast(doubt, wait_lease) :: else fi
	:: else
	fi;
	replace()
}

inline change() {
	if :: !unclear -> changes++ :: else fi;
	silent = 1; granted = LONGEST; fresh = 0; lost = 0; settled();
	if :: list > 0 -> list_stale = 1 :: else fi;
#ifdef FORGETFUL
	former = 0;
#endif
#ifndef NO_DOUBTS
	if
	:: limit > 0 ->
		doubt = limit; earlier = 1;
#ifdef RENEW_TERM
		doubt = wait_late + wait_lease; limit = doubt;
#endif
		if :: doubt >= LONGEST -> arrives = doubt - LONGEST + 1 :: else fi
	:: else
	fi
#endif
}

inline tick() {
	i = 0;
	do
	:: i < COPIES -> decrement(copy_lease[i]); decrement(copy[i]); if :: copy[i] == 0 -> copy_life[i] = 0; copy_lease[i] = 0; copy_run[i] = 0 :: else fi; i++
	:: i == COPIES -> break
	od;
	i = 0;
	decrement(list_lease); decrement(list);
	if :: list == 0 -> drop_list() :: else fi;
	decrement(lease);
	if :: running && lease == 0 -> stop() :: else fi;
#ifdef PROOF_ONLY
	if :: doubt > 1 -> doubt-- :: else fi;
#else
	decrement(doubt);
#endif
	decrement(granted); decrement(lost); decrement(arrives); decrement(former); decrement(fresh); decrement(limit);
	if :: doubt == 0 -> earlier = 0 :: else fi
}

#define overdue (place < 3 && !unclear && silent && granted == 0 && former == 0)
#define elsewhere (place == 3 && !unclear && !b)

/* Time passes. */
proctype clock() { end: do :: d_step { tick(); skip } od }

/* The leader lists what runs on a while it has a reason to. */
proctype poll() {
	end: do
	:: atomic {
		place < 3 || unclear ->
		if
		:: heard && known == life -> d_step { listed(); skip }
		:: heard && known == life -> d_step { refused(); skip }
		:: heard && known != life -> d_step { foreign(); skip }
		:: d_step { unanswered(true); skip }
		:: d_step { unanswered(false); skip }
		fi
	}
	od
}

/* The leader gives the run up, and starts the task on b. */
proctype leader() {
	end: do
	:: d_step { overdue -> over() }
	:: d_step { elsewhere -> b = 1 }
	:: d_step { b && !done -> done = 1 }
	od
}

/* What may happen. */
proctype world() {
	byte x;
	end: do
	:: atomic {
		if :: x = 0 :: COPIES > 1 -> x = COPIES - 1 fi;
		if
		/* A start is sent again while it has no answer, for a time. */
		:: place == 1 && copy[x] == 0 && fresh > 0 -> d_step { send(x); skip }
		:: copy[x] > 0 -> d_step { carry_out(x); clear(x); skip }
		:: copy[x] > 0 && heard && fresh > 0 -> d_step { carry_out(x); answered(x); clear(x); skip }
		:: x == 0 && list > 0 -> d_step { if :: running -> extend(list_life, list_lease) :: else fi; drop_list() }
		/* A stop that is answered. */
		:: x == 0 && heard && known == life && place < 3 -> d_step { stop(); atleast(stopped, number); silent = 0; over(); skip }
		:: x == 0 && heard && known == life && place == 3 && running -> d_step { stop(); silent = 0; skip }
		:: x == 0 && life + 1 < LIVES -> d_step { life++; running = 0; lease = 0; stopped = 0; heard = 0 }
		:: x == 0 && !heard -> heard = 1
		:: x == 0 && heard -> heard = 0
		:: x == 0 && heard && known != life -> d_step { replace(); skip }
		/* The task starts on a again, which refuses what was sent before. */
		:: x == 0 && place == 3 && !b && number < RUNS && heard && known == life && !running && (!unclear || stopped >= number) && copy[x] == 0 ->
			d_step { if :: unclear -> earlier = 1 :: else fi; number++; commit(); send(0); skip }
		:: x == 0 && (unclear || changes < CHANGES) && !b -> d_step { change(); skip }
		:: x == 0
		fi;
		x = 0;
		assert(!(running && b))
	}
	od
}

init {
	d_step { commit(); send(0); skip };
	atomic { run clock(); run poll(); run leader(); run world() }
}

#ifdef PROGRESS
ltl progress { <> done }
#endif
