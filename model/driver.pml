/*
 * Orders of leaders to two workers through other processes: one task, of which at
 * most one run may execute at a time.
 *
 * A driver and the network only delay, repeat or lose orders, so an order that has
 * left a leader may reach its worker at any later time. The lease of a worker is
 * over at some time after the last order that extended it; the clocks, which bound
 * that time, are the subject of lease.pml. A new leader knows what is committed:
 * the run and its worker.
 *
 * Invariant: the task does not run on two workers at once.
 *
 * Guards, each removed by defining:
 *   NO_FENCE    workers accept orders of earlier terms
 *   NO_STOP     a run that is not listed is given up although its start may come
 *   NO_NUMBER   a worker starts a run that it was told to stop
 *   NO_DEADLINE a worker starts a run after the lease in the order
 *   NO_SENT     a run is given up as not sent although a copy has left
 *   NO_MEMORY   a new leader takes a run that was committed before for not sent
 */
#ifndef RUNS
#define RUNS 3
#endif
#ifndef TERMS
#define TERMS 2
#endif
#define W 2
#define at(w, r) ((w) * (RUNS + 1) + (r))

byte term = 1;
byte number;            /* committed: the latest run */
byte holder;         /* committed: its worker plus one, 0 if it is over */

/* Memory of the leader, lost with its term. */
bit sent;            /* a copy of the start may have left */
bit resumed;         /* the run was committed in an earlier term */
bit stopped;         /* the worker has answered a stop */

/* Orders under way, kept until they are lost: a worker may get copies. */
byte start[8];       /* by worker and run: the term that sent it, 0 if none */
bit stop[8];

/* Workers. */
byte fence[W];
byte running[W];     /* run that executes, 0 if none */
byte ended[W];       /* highest run that was stopped or has ended */
bit lease[W];

/* A worker carries out a start. */
#ifdef NO_FENCE
#define by_fence(w, r) true
#else
#define by_fence(w, r) (start[at(w, r)] >= fence[w])
#endif
#ifdef NO_NUMBER
#define by_number(w, r) true
#else
#define by_number(w, r) ((r) > ended[w])
#endif
#ifdef NO_DEADLINE
#define by_deadline(w) true
#else
#define by_deadline(w) (lease[w])
#endif
#define valid(w, r) (by_fence(w, r) && by_number(w, r) && by_deadline(w))

inline give_up() { holder = 0; sent = 0; resumed = 0; stopped = 0 }

active proctype leader() {
	byte w, r;
	do
	/* commits a start */
	:: atomic { holder == 0 && number < RUNS -> number++; select(w : 1 .. W); holder = w; sent = 0; resumed = 0; stopped = 0 }
	/* sends the start, by itself or through a driver; if nothing accepts it, nothing changes */
	:: atomic { holder > 0 && !stopped && !resumed -> start[at(holder - 1, number)] = term; lease[holder - 1] = 1; sent = 1 }
	/* gives up a run of which no copy has left */
#ifdef NO_SENT
	:: atomic { holder > 0 && !resumed -> give_up() }
#else
	:: atomic { holder > 0 && !sent -> give_up() }
#endif
	/* sends a stop */
	:: atomic { holder > 0 -> stop[at(holder - 1, number)] = 1 }
	/* lists a worker, which extends its lease */
	:: atomic {
		holder > 0 && fence[holder - 1] <= term -> w = holder - 1; fence[w] = term; lease[w] = 1;
		if
		:: running[w] == number -> sent = 1; resumed = 0
#ifdef NO_STOP
		:: running[w] != number -> give_up()
#else
		:: running[w] != number && (stopped || resumed || ended[w] >= number) -> give_up()
		:: running[w] != number && !stopped && !resumed && ended[w] < number -> skip
#endif
		fi
	}
	/* the lease is over on the slowest clock */
	:: atomic { holder > 0 && !lease[holder - 1] -> give_up() }
	/* the next leader */
	:: atomic {
		term < TERMS -> term++; stopped = 0; resumed = (holder > 0);
#ifdef NO_MEMORY
		sent = 0
#else
		sent = (holder > 0)
#endif
	}
	od
}

active [W] proctype worker() {
	byte w = _pid - 1, r;
	do
	/* a start arrives */
	:: atomic {
		select(r : 1 .. RUNS);
		if
		:: start[at(w, r)] > 0 && valid(w, r) && r >= running[w] ->
			fence[w] = (fence[w] > start[at(w, r)] -> fence[w] : start[at(w, r)]); running[w] = r
		:: else
		fi; r = 0
	}
	/* a stop arrives; its answer may get lost */
	:: atomic {
		select(r : 1 .. RUNS);
		if
		:: stop[at(w, r)] ->
			ended[w] = (ended[w] > r -> ended[w] : r);
			if :: running[w] == r -> running[w] = 0 :: else fi;
			if
			:: holder == w + 1 && number == r -> stopped = 1
			:: true
			fi
		:: else
		fi; r = 0
	}
	/* the run ends by itself */
	:: atomic { running[w] > 0 -> ended[w] = (ended[w] > running[w] -> ended[w] : running[w]); running[w] = 0 }
	/* the lease is over: nothing runs on, and the orders that it came with are late */
	:: atomic {
		lease[w] -> lease[w] = 0; running[w] = 0;
#ifndef NO_DEADLINE
		for (r : 1 .. RUNS) { start[at(w, r)] = 0 } r = 0
#endif
	}
	/* an order is lost */
	:: atomic { select(r : 1 .. RUNS); start[at(w, r)] = 0; r = 0 }
	:: atomic { select(r : 1 .. RUNS); stop[at(w, r)] = 0; r = 0 }
	od
}

active proctype monitor() {
	assert(!(running[0] > 0 && running[1] > 0))
}
