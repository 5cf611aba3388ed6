/*
 * Evacuation of an availability zone, at any change of the leader.
 *
 * An operator orders an evacuation, revokes it, and orders it once more. It sends copies
 * of each order by way of different processes until it gets an answer. Answers may be lost. A copy
 * arrives at any time, also after the operator has had an answer to another one and has
 * given the next order. It carries a lower bound of the time of its issue.
 *
 * The leader puts orders into a round, commits it and answers. A round may fail, and its
 * orders are dropped then; the next leader may find them in the log all the same. The
 * leader starts a task in the zone in a round of its own: the start is committed, and sent
 * later, in several copies. A leader that was replaced may still have a start to send.
 *
 * Time counts the orders that were issued.
 *
 * Invariants: no start is sent to the zone from the acknowledgement of an evacuation until the
 * operator revokes it; meanwhile the zone is evacuated in the log; and it is not from the
 * acknowledgement of the revocation until the next order.
 *
 * The planner does not use the zone either, which is not needed for these: a start is looked
 * at again before each copy.
 *
 * Guards, each removed by defining:
 *   NO_SEND    committed starts are sent without another look at the zone
 *   NO_COMMIT  an order is answered before it is committed
 *   NO_ADOPT   the next leader does not take the evacuation from the log
 *   NO_ISSUED  a copy is not compared with the latest order
 *   NO_TERM    the begin of the term does not stand for the orders before it
 *   NO_LEASE   a leader that was replaced sends what it had to send
 */
#ifndef COPIES
#define COPIES 2   /* of each order */
#endif
#ifndef TERMS
#define TERMS 3
#endif
#define PHASES 3   /* evacuate, revoke, evacuate */
#define N 6        /* COPIES * PHASES */
#define NONE 255

#define evacuates(p) ((p) % 2 == 0)

byte now = 1;

/* Of the operator. */
byte phase;
bit evacuated;       /* an evacuation is acknowledged and not revoked */
bit revoked;         /* its revocation is acknowledged, and no order was issued since */
bit answered;

/* Copies on their way. */
byte copy[N] = NONE; /* phase */
byte issued[N];

/* Replicated. */
bit evac;

/* Of the leader. */
byte terms;
bit mark;            /* it knows that the zone is evacuated */
bit wanted;          /* by the latest order */
byte last;           /* when that arrived */
byte order = NONE;   /* phase of an order in the round */
bit start;           /* a start in the zone is committed */
bit former;          /* a leader that was replaced has one */

byte i;

#define legal assert(!(evacuated && !evac) && !(revoked && evac))

inline answer(p) {
	if
	:: p == phase -> answered = 1
	:: true       /* lost, or nobody waits for it */
	fi
}

inline send() { assert(!evacuated) }

/* applies the order of the round */
inline apply() { evac = evacuates(order); legal }

active proctype operator() {
	byte sent;
	end: do
	:: atomic {
		phase < PHASES && sent < COPIES && !answered ->
		if
		:: evacuates(phase) -> revoked = 0
		:: else -> evacuated = 0
		fi;
		i = phase * COPIES + sent;
		copy[i] = phase; issued[i] = now;
		if
		:: issued[i]-- /* the bound is lower than the time */
		:: true
		fi;
		now++; sent++
	}
	:: atomic {
		answered ->
		if
		:: evacuates(phase) -> evacuated = 1
		:: else -> revoked = 1
		fi;
		legal;
		answered = 0; sent = 0; phase++
	}
	:: phase == PHASES -> break
	od
}

active [N] proctype delivery() {
	end: atomic {
		copy[_pid - 1] != NONE && order == NONE ->
		if
		:: evacuates(copy[_pid - 1]) == wanted && wanted == evac -> answer(copy[_pid - 1])
#ifndef NO_ISSUED
		:: evacuates(copy[_pid - 1]) != wanted && issued[_pid - 1] < last -> skip
#endif
		:: else ->
			if
			:: evacuates(copy[_pid - 1]) != wanted -> wanted = evacuates(copy[_pid - 1]); last = now
			:: else
			fi;
			order = copy[_pid - 1];
#ifdef NO_COMMIT
			answer(order)
#endif
		fi;
		copy[_pid - 1] = NONE
	}
}

active proctype leader() {
	end: do
	:: atomic { order != NONE -> apply(); mark = evac; answer(order); order = NONE }
	:: atomic { order != NONE -> order = NONE } /* the round failed */
	:: atomic { order == NONE && !mark && !start -> start = 1 }
	:: atomic {
		start ->
#ifndef NO_SEND
		if
		:: mark -> start = 0
		:: else -> send()
		fi
#else
		send()
#endif
	}
	:: atomic { start -> start = 0 } /* it was answered */
	:: atomic {
		terms < TERMS -> terms++;
		if
		:: order != NONE -> apply()
		:: true
		fi;
		order = NONE;
		former = former || start; start = 0;
		wanted = evac;
#ifdef NO_TERM
		last = 0;
#else
		last = now;
#endif
#ifdef NO_ADOPT
		mark = 0
#else
		mark = evac
#endif
	}
#ifdef NO_LEASE
	:: atomic { former -> send() }
#endif
	od
}
