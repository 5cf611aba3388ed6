/*
 * Hand-over of one task between two workers under leases.
 *
 * Times are kept as what is left of them, so that the number of states is
 * bounded while time is not. A worker counts its lease from when it sent the
 * poll, on a clock that may be up to DRIFT late; the leader counts from receipt
 * and adds MARGIN. Polls and answers are delayed and lost. Leaders change: the
 * new one does not know the leases that the old one granted, and the old one
 * goes on as long as it is not aware of that.
 *
 * Checked: the task never runs on two workers at once.
 *
 * Guards, each removed by defining:
 *   NO_MARGIN        the leader adds no margin
 *   FROM_ANSWER      the worker counts its lease from when the answer came
 *   NO_WAIT          a new leader does not wait out leases it may not know of
 *   NO_LEADER_LEASE  a deposed leader still answers polls
 *   NO_LATEST        a worker takes starts from the answer to an earlier poll,
 *                    and a task is freed when a later poll does not list it
 */
#define TTL 2
#define DRIFT 1
#define ELECTION 1   /* leader lease */
#ifdef NO_MARGIN
#define MARGIN 0
#else
#define MARGIN 2 /* above DRIFT: both ends count whole units */
#endif
#ifndef TOKENS
#define TOKENS 2     /* starts of the task */
#endif

/* Replicated state: the worker that has the task (2 is none), the token. */
byte holder = 2;
byte token;

byte leads;          /* 0 leads first, 1 may be elected later */
byte left;           /* of the leader lease of the elected leader */
byte known[4];       /* known[leader * 2 + worker]: left of the worker's lease */

typedef Worker {
	byte lease;        /* left by its own clock */
	byte over;         /* how long the task ran past the lease, at most DRIFT */
	bit running;
	byte token;        /* greatest that it has started */
	bit poll;          /* a poll is on its way */
	byte poll_age;     /* since it was sent */
	bit poll_running;  /* whether it lists the task */
	bit poll_latest;
	bit answer;        /* an answer is on its way */
	byte answer_age;   /* since the poll that it answers was sent */
	bit answer_latest; /* that poll is still the worker's latest */
	bit answer_start;
	byte answer_token;
};
Worker w[2];

#ifdef NO_LEADER_LEASE
#define may_answer(l) (l == leads || l == 0)
#else
#define may_answer(l) (l == leads && left > 0)
#endif
#ifdef NO_LATEST
#define takes_answer(x) true
#else
#define takes_answer(x) (w[x].answer_latest)
#endif

inline drop_poll(x) { w[x].poll = 0; w[x].poll_age = 0; w[x].poll_running = 0; w[x].poll_latest = 0 }

inline drop_answer(x) {
	w[x].answer = 0; w[x].answer_age = 0; w[x].answer_latest = 0; w[x].answer_start = 0; w[x].answer_token = 0
}

inline send(x) {
	w[x].poll = 1; w[x].poll_age = 0; w[x].poll_running = w[x].running; w[x].poll_latest = 1;
	w[x].answer_latest = 0
}

inline handle(l, x) {
	if
	:: w[x].poll && may_answer(l) ->
		known[l * 2 + x] = TTL + MARGIN;
		w[x].answer = 1; w[x].answer_age = w[x].poll_age; w[x].answer_latest = w[x].poll_latest;
		w[x].answer_start = (holder == x && !w[x].poll_running);
		w[x].answer_token = (w[x].answer_start -> token : 0);
		drop_poll(x)
	:: else
	fi
}

/* The elected leader commits a start if the task is free, or if its holder's
 * lease is over by the leader's account. */
inline place(x) {
	if
	:: token < TOKENS && (holder == 2 || (holder != x && known[leads * 2 + holder] == 0)) -> holder = x; token++
	:: else
	fi
}

inline receive(x) {
	if
	:: w[x].answer && takes_answer(x) ->
#ifdef FROM_ANSWER
		w[x].lease = TTL;
#else
		if :: w[x].answer_age < TTL && TTL - w[x].answer_age > w[x].lease -> w[x].lease = TTL - w[x].answer_age :: else fi;
#endif
		if
		:: w[x].answer_start && w[x].lease > 0 && !w[x].running && w[x].answer_token > w[x].token ->
			w[x].running = 1; w[x].over = 0; w[x].token = w[x].answer_token
		:: else
		fi
	:: else
	fi;
	drop_answer(x)
}

/* The task ends when the lease does, or earlier by itself. */
inline stop(x) { w[x].running = 0; w[x].over = 0 }

/* The holder reports that its run is over. */
inline report(x) {
	if :: holder == x && !w[x].running && w[x].token == token && may_answer(leads) -> holder = 2 :: else fi
}

#ifdef NO_LATEST
/* The task is freed because a poll does not list it, although the start may
 * still be on its way to the worker. */
inline free_unlisted(x) {
	if :: holder == x && w[x].poll && w[x].poll_latest && !w[x].poll_running && w[x].answer -> holder = 2 :: else fi
}
#endif

inline elect() {
	if
	:: leads == 0 && left == 0 ->
		leads = 1; left = ELECTION; known[0] = 0; known[1] = 0;
#ifndef NO_WAIT
		known[2] = TTL + MARGIN; known[3] = TTL + MARGIN
#endif
	:: else
	fi
}

#define may_tick(x) (!w[x].running || w[x].lease > 0 || w[x].over < DRIFT)
#define less(v) if :: v > 0 -> v-- :: else fi
#define older(v) if :: v < TTL -> v++ :: else fi

inline tick_worker(x) {
	if :: w[x].running && w[x].lease == 0 -> w[x].over++ :: else fi;
	less(w[x].lease);
	if :: w[x].poll -> older(w[x].poll_age) :: else fi;
	if :: w[x].answer -> older(w[x].answer_age) :: else fi
}

inline tick() {
	if
	:: may_tick(0) && may_tick(1) ->
		tick_worker(0); tick_worker(1);
		less(left); less(known[0]); less(known[1]); less(known[2]); less(known[3])
	:: else
	fi
}

init {
	byte x;
	do
	:: atomic {
		if :: x = 0 :: x = 1 fi;
		if
		:: d_step { send(x); skip }
		:: d_step { handle(0, x); skip }
		:: leads == 1 -> d_step { handle(1, x); skip }
		:: d_step { place(x); skip }
		:: d_step { receive(x); skip }
		:: d_step { stop(x); skip }
		:: d_step { report(x); skip }
#ifdef NO_LATEST
		:: d_step { free_unlisted(x); skip }
#endif
		:: d_step { drop_poll(x); skip }
		:: d_step { drop_answer(x); skip }
		:: x == 0 -> d_step { elect(); skip }
		:: x == 0 -> left = ELECTION
		:: x == 0 -> d_step { tick(); skip }
		fi;
		x = 0;
		assert(!(w[0].running && w[1].running))
	}
	od
}
