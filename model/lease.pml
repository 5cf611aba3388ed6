/*
 * Handover of one task between two workers under leases.
 *
 * Times are stored as remaining time, so that the number of states is bounded
 * although time is not. A worker counts its lease from when it sent the poll, on
 * a clock that may be up to DRIFT late; the leader counts from receipt and adds
 * MARGIN. Polls and answers may be delayed or lost. The leader may change: the
 * new one does not know the leases that the old one granted, and the old one
 * goes on until it learns of the change.
 *
 * Invariant: the task never runs on two workers at once.
 *
 * Guards, each removed by defining:
 *   NO_MARGIN        the leader adds no margin
 *   FROM_ANSWER      the worker counts its lease from the arrival of the answer
 *   NO_WAIT          a new leader does not wait until unknown leases have expired
 *   NO_LEADER_LEASE  a deposed leader still answers polls
 *   NO_LATEST        a worker accepts starts from the answer to an earlier poll,
 *                    and a task is freed when a later poll does not list it
 */
#define TTL 2
#define DRIFT 1
#define ELECTION 1   /* length of the leader lease */
#ifdef NO_MARGIN
#define MARGIN 0
#else
#define MARGIN 2 /* above DRIFT: both sides count whole units */
#endif
#ifndef TOKENS
#define TOKENS 2     /* maximum number of starts of the task */
#endif

/* Replicated state: the worker that holds the task (2 is none), and the fencing
 * token of the latest start. */
byte holder = 2;
byte token;

byte leader;          /* 0 leads first, 1 may be elected later */
byte leader_lease;    /* time left of the elected leader's lease */
byte worker_lease[4]; /* [leader * 2 + worker]: time left of the worker's lease by the leader's count */

typedef Worker {
	byte lease;        /* time left by its own clock */
	byte overrun;      /* time that the task ran past the lease, at most DRIFT */
	bit running;
	byte token;        /* greatest token that it has started */
	bit poll;          /* a poll is in transit */
	byte poll_age;     /* time since it was sent */
	bit poll_running;  /* it lists the task */
	bit poll_latest;   /* it is the worker's latest */
	bit answer;        /* an answer is in transit */
	byte answer_age;   /* time since the answered poll was sent */
	bit answer_latest; /* the answered poll is still the worker's latest */
	bit answer_start;  /* it starts the task */
	byte answer_token;
};
Worker w[2];

#ifdef NO_LEADER_LEASE
#define may_answer(l) (l == leader || l == 0)
#else
#define may_answer(l) (l == leader && leader_lease > 0)
#endif
#ifdef NO_LATEST
#define accepts_answer(x) true
#else
#define accepts_answer(x) (w[x].answer_latest)
#endif

inline drop_poll(x) { w[x].poll = 0; w[x].poll_age = 0; w[x].poll_running = 0; w[x].poll_latest = 0 }

inline drop_answer(x) {
	w[x].answer = 0; w[x].answer_age = 0; w[x].answer_latest = 0; w[x].answer_start = 0; w[x].answer_token = 0
}

inline send_poll(x) {
	w[x].poll = 1; w[x].poll_age = 0; w[x].poll_running = w[x].running; w[x].poll_latest = 1;
	w[x].answer_latest = 0
}

inline handle_poll(l, x) {
	if
	:: w[x].poll && may_answer(l) ->
		worker_lease[l * 2 + x] = TTL + MARGIN;
		w[x].answer = 1; w[x].answer_age = w[x].poll_age; w[x].answer_latest = w[x].poll_latest;
		w[x].answer_start = (holder == x && !w[x].poll_running);
		w[x].answer_token = (w[x].answer_start -> token : 0);
		drop_poll(x)
	:: else
	fi
}

/* The elected leader commits a start if the task is free, or if the holder's lease
 * has expired by the leader's count. */
inline start_task(x) {
	if
	:: token < TOKENS && (holder == 2 || (holder != x && worker_lease[leader * 2 + holder] == 0)) -> holder = x; token++
	:: else
	fi
}

inline receive_answer(x) {
	if
	:: w[x].answer && accepts_answer(x) ->
#ifdef FROM_ANSWER
		w[x].lease = TTL;
#else
		if :: w[x].answer_age < TTL && TTL - w[x].answer_age > w[x].lease -> w[x].lease = TTL - w[x].answer_age :: else fi;
#endif
		if
		:: w[x].answer_start && w[x].lease > 0 && !w[x].running && w[x].answer_token > w[x].token ->
			w[x].running = 1; w[x].overrun = 0; w[x].token = w[x].answer_token
		:: else
		fi
	:: else
	fi;
	drop_answer(x)
}

/* The task may end at any time. tick lets it run at most DRIFT past the lease. */
inline end_run(x) { w[x].running = 0; w[x].overrun = 0 }

/* The holder reports that its run has ended. */
inline report_end(x) {
	if :: holder == x && !w[x].running && w[x].token == token && may_answer(leader) -> holder = 2 :: else fi
}

#ifdef NO_LATEST
/* The task is freed because a poll does not list it, although the start may still
 * be in transit to the worker. */
inline free_unlisted(x) {
	if :: holder == x && w[x].poll && w[x].poll_latest && !w[x].poll_running && w[x].answer -> holder = 2 :: else fi
}
#endif

inline elect() {
	if
	:: leader == 0 && leader_lease == 0 ->
		leader = 1; leader_lease = ELECTION; worker_lease[0] = 0; worker_lease[1] = 0;
#ifndef NO_WAIT
		worker_lease[2] = TTL + MARGIN; worker_lease[3] = TTL + MARGIN
#endif
	:: else
	fi
}

#define may_tick(x) (!w[x].running || w[x].lease > 0 || w[x].overrun < DRIFT)
#define decrement(v) if :: v > 0 -> v-- :: else fi
#define age(v) if :: v < TTL -> v++ :: else fi

inline tick_worker(x) {
	if :: w[x].running && w[x].lease == 0 -> w[x].overrun++ :: else fi;
	decrement(w[x].lease);
	if :: w[x].poll -> age(w[x].poll_age) :: else fi;
	if :: w[x].answer -> age(w[x].answer_age) :: else fi
}

inline tick() {
	if
	:: may_tick(0) && may_tick(1) ->
		tick_worker(0); tick_worker(1);
		decrement(leader_lease); decrement(worker_lease[0]); decrement(worker_lease[1]); decrement(worker_lease[2]); decrement(worker_lease[3])
	:: else
	fi
}

init {
	byte x;
	do
	:: atomic {
		if :: x = 0 :: x = 1 fi;
		if
		:: d_step { send_poll(x); skip }
		:: d_step { handle_poll(0, x); skip }
		:: leader == 1 -> d_step { handle_poll(1, x); skip }
		:: d_step { start_task(x); skip }
		:: d_step { receive_answer(x); skip }
		:: d_step { end_run(x); skip }
		:: d_step { report_end(x); skip }
#ifdef NO_LATEST
		:: d_step { free_unlisted(x); skip }
#endif
		:: d_step { drop_poll(x); skip }
		:: d_step { drop_answer(x); skip }
		:: x == 0 -> d_step { elect(); skip }
		:: x == 0 -> leader_lease = ELECTION
		:: x == 0 -> d_step { tick(); skip }
		fi;
		x = 0;
		assert(!(w[0].running && w[1].running))
	}
	od
}
